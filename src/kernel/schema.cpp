#include "schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace bluebellbarrow {

namespace {

struct Unit {
  const char *Suffix;
  double Factor;
};

constexpr std::array<Unit, 4> SpanUnits = {
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}}};

constexpr std::array<Unit, 3> SizeUnits = {
    {{"B", 1}, {"KB", 1024}, {"MB", 1048576}}};

constexpr std::array<Unit, 1> NoUnits = {{{"", 1}}};

std::span<const Unit> unitsOf(KeyType Type) {
  if (Type == KeyType::Span)
    return SpanUnits;
  if (Type == KeyType::Size)
    return SizeUnits;
  return NoUnits;
}

Error badValue(const KeySpec &Spec, const std::string &Text) {
  return makeError(Errc::BadValue, Spec.Key, "",
                   "'" + Text + "' is not " + unitOf(Spec.Type));
}

Result<double> parseFlag(const KeySpec &Spec, const std::string &Text) {
  if (Text == "yes")
    return 1.0;
  if (Text == "no")
    return 0.0;
  return badValue(Spec, Text);
}

Result<double> parseNumber(const KeySpec &Spec, const std::string &Text) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc())
    return badValue(Spec, Text);
  const char *Suffix = Parsed.ptr;
  while (Suffix != End && *Suffix == ' ')
    ++Suffix;

  const std::span<const Unit> Units = unitsOf(Spec.Type);
  const auto Found =
      std::find_if(Units.begin(), Units.end(), [Suffix](const Unit &Each) {
        return std::strcmp(Each.Suffix, Suffix) == 0;
      });
  if (Found == Units.end())
    return badValue(Spec, Text);
  const double Value = Number * Found->Factor;
  if (Spec.Type == KeyType::Count &&
      Value != static_cast<double>(static_cast<int64_t>(Value)))
    return badValue(Spec, Text);
  if (!(Value >= Spec.Min && Value <= Spec.Max))
    return makeError(Errc::OutOfRange, Spec.Key, "", "'" + Text + "'");
  return Value;
}

bool hasKind(std::span<const KeySpec> Specs, const std::string &Kind) {
  return std::any_of(Specs.begin(), Specs.end(), [&Kind](const KeySpec &Spec) {
    return Kind == Spec.Section;
  });
}

const KeySpec *findSpec(std::span<const KeySpec> Specs, const std::string &Kind,
                        const std::string &Key) {
  const auto Found =
      std::find_if(Specs.begin(), Specs.end(), [&](const KeySpec &Spec) {
        return Kind == Spec.Section && Key == Spec.Key;
      });
  return Found == Specs.end() ? nullptr : &*Found;
}

Error atLine(const IniFile &File, const IniEntry &Entry, const Error &Cause) {
  Error Located = Cause;
  Located.Step = File.Name + ":" + std::to_string(Entry.Line);
  Located.Detail = "key '" + Entry.Key + "': " + Cause.Detail;
  return Located;
}

} // namespace

const char *unitOf(KeyType Type) {
  switch (Type) {
  case KeyType::Text:
    return "a text";
  case KeyType::Flag:
    return "yes or no";
  case KeyType::Count:
    return "a whole number";
  case KeyType::Ratio:
    return "a number";
  case KeyType::Span:
    return "a time with unit us, ms, s or min";
  case KeyType::Size:
    return "a size with unit B, KB or MB";
  }
  return "";
}

std::string sectionKind(const std::string &Section) {
  return Section.substr(0, Section.find(' '));
}

std::string sectionName(const std::string &Section) {
  const size_t Space = Section.find(' ');
  return Space == std::string::npos ? "" : Section.substr(Space + 1);
}

Result<double> parseValue(const KeySpec &Spec, const std::string &Text) {
  if (Spec.Type == KeyType::Flag)
    return parseFlag(Spec, Text);
  if (Spec.Type != KeyType::Text)
    return parseNumber(Spec, Text);
  const auto Length = static_cast<double>(Text.size());
  if (Length < Spec.Min || Length > Spec.Max)
    return makeError(Errc::OutOfRange, Spec.Key, "",
                     "length of '" + Text + "'");
  return 0.0;
}

Result<std::monostate>
checkEntries(const IniFile &File, std::span<const KeySpec> Specs,
             const std::function<Result<std::monostate>(
                 const KeySpec &, const IniEntry &, double)> &Store) {
  for (const std::string &Section : File.Sections)
    if (!hasKind(Specs, sectionKind(Section)))
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] has no place here");

  for (const IniEntry &Entry : File.Entries) {
    const KeySpec *Spec =
        findSpec(Specs, sectionKind(Entry.Section), Entry.Key);
    if (Spec == nullptr)
      return lineError(Errc::UnknownKey, File.Name, Entry.Line,
                       "key '" + Entry.Key + "' in [" + Entry.Section + "]");
    const Result<double> Value = parseValue(*Spec, Entry.Value);
    if (!Value)
      return atLine(File, Entry, Value.error());
    const Result<std::monostate> Stored = Store(*Spec, Entry, Value.value());
    if (!Stored)
      return atLine(File, Entry, Stored.error());
  }
  return std::monostate();
}

} // namespace bluebellbarrow
