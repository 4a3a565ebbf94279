#include "vmlist.h"

#include "kernel/percentencoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <sstream>
#include <stdexcept>
#include <tuple>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

constexpr const char *ParseStep = "parse VM list";

/**
 * Path of the part that lists the evacuated domains. No service has it, since
 * an encoded name holds no '/'.
 */
constexpr const char *EvacuationPath = "/evacuated";

/** Longest name, domain, service or target of a VM, in bytes. */
constexpr size_t MaxTextBytes = 1024;

/** Longest part of a VM's name in an error, in bytes. */
constexpr size_t MaxNameBytesInError = 80;

/** An optional property of a VM, in the platform's JSON and in a part. */
struct Property {
  const char *Name;
  std::string (*Get)(const Vm &);
  bool (*Set)(Vm &, const std::string &);
};

template <typename Number>
bool parseNumber(const std::string &Text, Number &Output) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Output);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Output >= 0;
}

/** Returns an empty text for 0, which means that the property is not set. */
std::string formatNumber(int64_t Number) {
  return Number == 0 ? std::string() : std::to_string(Number);
}

bool setRemainingWarmUp(Vm &Output, const std::string &Text) {
  int64_t Millis = 0;
  if (!parseNumber(Text, Millis))
    return false;
  Output.RemainingWarmUp = milliseconds(Millis);
  return true;
}

const std::array<Property, 5> Properties = {{
    {"target", [](const Vm &Source) { return Source.Target.str(); },
     [](Vm &Output, const std::string &Text) {
       Output.Target = TargetInstanceId(Text);
       return true;
     }},
    {"port", [](const Vm &Source) { return formatNumber(Source.TargetPort); },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.TargetPort);
     }},
    {"slots", [](const Vm &Source) { return formatNumber(Source.Slots); },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.Slots);
     }},
    {"born",
     [](const Vm &Source) {
       return formatNumber(Source.TargetStartUnixMillis);
     },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.TargetStartUnixMillis);
     }},
    {"cold",
     [](const Vm &Source) {
       return formatNumber(toMilliseconds(Source.RemainingWarmUp));
     },
     setRemainingWarmUp},
}};

const Property *findProperty(const std::string &Name) {
  const auto Found = std::find_if(
      Properties.begin(), Properties.end(),
      [&Name](const Property &Candidate) { return Name == Candidate.Name; });
  return Found == Properties.end() ? nullptr : &*Found;
}

bool isValidText(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxTextBytes;
}

/** Returns true if \a Id can be the value of a header. */
bool isValidTarget(const std::string &Id) {
  const auto IsControl = [](unsigned char Byte) {
    return Byte < 0x20 || Byte == 0x7f;
  };
  return Id.size() <= MaxTextBytes && Id.front() != ' ' && Id.back() != ' ' &&
         std::none_of(Id.begin(), Id.end(), IsControl);
}

/** Returns the property that makes \a Source unusable; null for none. */
const char *findMalformedProperty(const Vm &Source) {
  if (!isValidText(Source.Name.str()))
    return "name";
  if (!isValidText(Source.Ip.str()))
    return "address";
  if (!isValidText(Source.Domain.str()))
    return "domain";
  if (!isValidText(Source.Service.str()))
    return "service";
  if (!Source.Target.empty() && !isValidTarget(Source.Target.str()))
    return "target";
  return nullptr;
}

/** Returns a name as one word of limited length. */
std::string shortName(const std::string &Name) {
  return percentEncode(Name).substr(0, MaxNameBytesInError);
}

/** Parses one VM of the platform's JSON; throws if it is malformed. */
Vm parseVm(const Json &Source) {
  Vm Parsed{.Name = VmName(Source.at("name").get<std::string>()),
            .Ip = Address(Source.at("address").get<std::string>()),
            .Domain = FailureDomain(Source.at("domain").get<std::string>()),
            .Service = ServiceName(Source.at("service").get<std::string>()),
            .Leaving = Source.at("state").get<std::string>() == "leaving"};
  for (const Property &CurrentProperty : Properties)
    if (Source.contains(CurrentProperty.Name) &&
        !CurrentProperty.Set(Parsed,
                             Source[CurrentProperty.Name].get<std::string>()))
      throw std::invalid_argument(std::string("invalid property '") +
                                  CurrentProperty.Name + "' of VM " +
                                  shortName(Parsed.Name.str()));
  if (const char *Malformed = findMalformedProperty(Parsed))
    throw std::invalid_argument(std::string("malformed ") + Malformed +
                                " of VM " + shortName(Parsed.Name.str()));
  return Parsed;
}

/** Adds one VM of the platform's JSON to \a Output. */
void addVm(const Json &Source, ParsedVmList &Output) {
  try {
    Output.List.Vms.push_back(parseVm(Source));
  } catch (const std::exception &Exception) {
    Output.Skipped.push_back(
        makeError(Errc::BadValue, ParseStep, "", Exception.what()));
  }
}

/** Formats a VM as one line of a part. */
std::string formatVmLine(const Vm &Source) {
  std::string Line = percentEncode(Source.Name.str()) + " " +
                     percentEncode(Source.Ip.str()) + " " +
                     percentEncode(Source.Domain.str()) + " " +
                     (Source.Leaving ? "leaving" : "live");
  for (const Property &CurrentProperty : Properties) {
    const std::string Text = CurrentProperty.Get(Source);
    if (!Text.empty())
      Line +=
          std::string(" ") + CurrentProperty.Name + "=" + percentEncode(Text);
  }
  return Line + "\n";
}

/** Reads the next word of a line and decodes it; returns false at its end. */
template <typename Name>
bool readName(std::istringstream &Words, Name &Output) {
  std::string Word;
  if (!(Words >> Word))
    return false;
  std::optional<std::string> Decoded = percentDecode(Word);
  if (!Decoded)
    return false;
  Output = Name(std::move(*Decoded));
  return true;
}

/** Sets the property in \a Word, "NAME=VALUE"; ignores an unknown one. */
bool readProperty(const std::string &Word, Vm &Output) {
  const size_t Equals = Word.find('=');
  const Property *Found = findProperty(Word.substr(0, Equals));
  if (Found == nullptr)
    return true;
  if (Equals == std::string::npos)
    return false;
  const std::optional<std::string> Value =
      percentDecode(std::string_view(Word).substr(Equals + 1));
  return Value && Found->Set(Output, *Value);
}

/** Parses one line of a part; returns false if the line is malformed. */
bool parseVmLine(const std::string &Line, Vm &Output) {
  std::istringstream Words(Line);
  std::string State;
  if (!readName(Words, Output.Name) || !readName(Words, Output.Ip) ||
      !readName(Words, Output.Domain) || !(Words >> State))
    return false;
  Output.Leaving = State == "leaving";
  for (std::string Word; Words >> Word;)
    if (!readProperty(Word, Output))
      return false;
  return true;
}

/** Adds the domains of the platform's JSON to \a Output; skips a bad name. */
void addEvacuatedDomains(const Json &Names, ParsedVmList &Output) {
  for (const Json &Name : Names) {
    if (Name.is_string() && isValidText(Name.get<std::string>()))
      Output.List.EvacuatedDomains.emplace_back(Name.get<std::string>());
    else
      Output.Skipped.push_back(makeError(Errc::BadValue, ParseStep, "",
                                         "malformed evacuated domain"));
  }
  std::sort(Output.List.EvacuatedDomains.begin(),
            Output.List.EvacuatedDomains.end());
}

std::string formatEvacuatedDomains(const std::vector<FailureDomain> &Domains) {
  std::string Text;
  for (const FailureDomain &Domain : Domains)
    Text += percentEncode(Domain.str()) + "\n";
  return Text;
}

/** Parses the text of formatEvacuatedDomains() into \a Output. */
void parseEvacuatedDomains(const std::string &Text, ParsedVms &Output) {
  std::istringstream Words(Text);
  for (FailureDomain Domain; readName(Words, Domain);)
    Output.EvacuatedDomains.push_back(Domain);
}

/** Adds the VMs of one part to \a Output. */
void addVmsOfPart(const std::string &Path, const std::string &Text,
                  ParsedVms &Output) {
  const std::string Step = "parse VMs of " + shortName(Path);
  const std::optional<std::string> Service = percentDecode(Path);
  if (!Service) {
    Output.Skipped.push_back(
        makeError(Errc::BadSyntax, Step, "", "malformed name of a service"));
    return;
  }
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    Vm Parsed{.Service = ServiceName(*Service)};
    if (parseVmLine(Line, Parsed))
      Output.Vms.push_back(std::move(Parsed));
    else
      Output.Skipped.push_back(
          makeError(Errc::BadSyntax, Step, "", "line " + shortName(Line)));
  }
}

} // namespace

void sortVms(std::vector<Vm> &Vms) {
  std::sort(Vms.begin(), Vms.end(), [](const Vm &A, const Vm &B) {
    return std::tie(A.Service, A.Name, A.Target) <
           std::tie(B.Service, B.Name, B.Target);
  });
}

std::string formatPlatformVmList(const VmList &List) {
  Json Vms = Json::array();
  for (const Vm &Listed : List.Vms) {
    Json Entry = {{"name", Listed.Name.str()},
                  {"address", Listed.Ip.str()},
                  {"domain", Listed.Domain.str()},
                  {"service", Listed.Service.str()},
                  {"state", Listed.Leaving ? "leaving" : "live"}};
    for (const Property &CurrentProperty : Properties)
      if (const std::string Text = CurrentProperty.Get(Listed); !Text.empty())
        Entry[CurrentProperty.Name] = Text;
    Vms.push_back(std::move(Entry));
  }
  Json Evacuated = Json::array();
  for (const FailureDomain &Domain : List.EvacuatedDomains)
    Evacuated.push_back(Domain.str());
  return Json{{"revision", List.Revision.value()},
              {"vms", Vms},
              {"evacuated", Evacuated}}
      .dump();
}

Result<ParsedVmList> parsePlatformVmList(const std::string &Text) {
  try {
    const Json Root = Json::parse(Text);
    ParsedVmList Parsed;
    Parsed.List.Revision = VersionNumber(Root.at("revision").get<uint64_t>());
    const Json &Entries = Root.at("vms");
    if (!Entries.is_array())
      return makeError(Errc::BadSyntax, ParseStep, "", "'vms' is not a list");
    for (const Json &Entry : Entries)
      addVm(Entry, Parsed);
    if (Root.contains("evacuated"))
      addEvacuatedDomains(Root["evacuated"], Parsed);
    sortVms(Parsed.List.Vms);
    return Parsed;
  } catch (const std::exception &Exception) {
    return makeError(Errc::BadSyntax, ParseStep, "", Exception.what());
  }
}

Manifest buildVmListManifest(const std::string &Mesh, const VmList &List,
                             PartsByDigest &Parts) {
  std::map<std::string, std::string> Texts;
  for (const Vm &Listed : List.Vms)
    Texts[percentEncode(Listed.Service.str())] += formatVmLine(Listed);
  if (!List.EvacuatedDomains.empty())
    Texts[EvacuationPath] = formatEvacuatedDomains(List.EvacuatedDomains);
  Manifest Content{.Mesh = Mesh, .Number = List.Revision};
  for (const auto &[Path, Text] : Texts)
    addPart(Content, Parts, Path, Text);
  return Content;
}

ParsedVms parseVmParts(const Manifest &Content, const PartsByDigest &Parts) {
  ParsedVms Parsed;
  for (const ManifestEntry &Entry : Content.Entries) {
    const std::string &Text = *Parts.at(Entry.Hash);
    if (Entry.Path == EvacuationPath)
      parseEvacuatedDomains(Text, Parsed);
    else
      addVmsOfPart(Entry.Path, Text, Parsed);
  }
  return Parsed;
}

} // namespace bluebellbarrow
