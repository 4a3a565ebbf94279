#include "schema.h"

#include "hashing.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <span>

namespace bluebellbarrow {

namespace {

struct Unit {
  const char *Suffix;
  double Factor;
};

constexpr std::array<Unit, 4> DurationUnits = {
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}}};

constexpr std::array<Unit, 3> SizeUnits = {
    {{"B", 1}, {"KB", 1024}, {"MB", 1048576}}};

constexpr std::array<Unit, 1> NoUnits = {{{"", 1}}};

std::span<const Unit> unitsFor(KeyType Type) {
  if (Type == KeyType::Duration)
    return DurationUnits;
  if (Type == KeyType::Size)
    return SizeUnits;
  return NoUnits;
}

Error badValue(const KeySpec &Spec, const std::string &Text) {
  return makeError(Errc::BadValue, Spec.Key, "",
                   "'" + Text + "' is not " + describeKeyType(Spec.Type));
}

Result<double> parseBool(const KeySpec &Spec, const std::string &Text) {
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

  const std::span<const Unit> Units = unitsFor(Spec.Type);
  const auto Found =
      std::find_if(Units.begin(), Units.end(), [Suffix](const Unit &Candidate) {
        return std::strcmp(Candidate.Suffix, Suffix) == 0;
      });
  if (Found == Units.end())
    return badValue(Spec, Text);
  const double Value = Number * Found->Factor;
  if (Spec.Type == KeyType::Integer && Value != std::floor(Value))
    return badValue(Spec, Text);
  if (!(Value >= Spec.Min && Value <= Spec.Max))
    return makeError(Errc::OutOfRange, Spec.Key, "", "'" + Text + "'");
  return Value;
}

/** Returns the hash of a key and its section. */
uint64_t keyHash(std::string_view Section, std::string_view Key) {
  constexpr uint64_t SectionFactor = 0x9e3779b97f4a7c15;
  return stableHash(Section) * SectionFactor + stableHash(Key);
}

/** Returns \a Cause with the file, line and key of \a Entry. */
Error withLocation(const IniFile &File, const IniEntry &Entry,
                   const Error &Cause) {
  Error Located = Cause;
  Located.Step = File.Name + ":" + std::to_string(Entry.Line);
  Located.Detail = "key '" + Entry.Key + "': " + Cause.Detail;
  return Located;
}

} // namespace

const char *describeKeyType(KeyType Type) {
  switch (Type) {
  case KeyType::Text:
    return "a text";
  case KeyType::Bool:
    return "yes or no";
  case KeyType::Integer:
    return "a whole number";
  case KeyType::Number:
    return "a number";
  case KeyType::Duration:
    return "a time with unit us, ms, s or min";
  case KeyType::Size:
    return "a size with unit B, KB or MB";
  }
  return "";
}

std::string_view sectionKind(std::string_view Section) {
  return Section.substr(0, Section.find(' '));
}

std::string sectionName(const std::string &Section) {
  const size_t Space = Section.find(' ');
  return Space == std::string::npos ? "" : Section.substr(Space + 1);
}

Result<double> parseValue(const KeySpec &Spec, const std::string &Text) {
  if (Spec.Type == KeyType::Bool)
    return parseBool(Spec, Text);
  if (Spec.Type != KeyType::Text)
    return parseNumber(Spec, Text);
  const auto Length = static_cast<double>(Text.size());
  if (Length < Spec.Min || Length > Spec.Max)
    return makeError(Errc::OutOfRange, Spec.Key, "",
                     "length of '" + Text + "'");
  return 0.0;
}

KeyTable::KeyTable(std::vector<KeySpec> NewSpecs) : Specs(std::move(NewSpecs)) {
  for (size_t Position = 0; Position < this->Specs.size(); ++Position)
    this->Index.add(
        keyHash(this->Specs[Position].Section, this->Specs[Position].Key),
        Position);
  this->Index.build();
}

std::optional<size_t> KeyTable::find(std::string_view Section,
                                     std::string_view Key) const {
  const size_t *Found =
      this->Index.find(keyHash(Section, Key), [&](size_t Position) {
        const KeySpec &Spec = this->Specs[Position];
        return Spec.Section == Section && Spec.Key == Key;
      });
  return Found == nullptr ? std::nullopt : std::optional(*Found);
}

bool KeyTable::hasSection(std::string_view Section) const {
  return std::any_of(
      this->Specs.begin(), this->Specs.end(),
      [Section](const KeySpec &Spec) { return Spec.Section == Section; });
}

Result<std::monostate> checkEntries(const IniFile &File, const KeyTable &Keys,
                                    const EntryHandler &OnEntry) {
  for (const std::string &Section : File.Sections)
    if (!Keys.hasSection(sectionKind(Section)))
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] has no place here");

  for (const IniEntry &Entry : File.Entries) {
    const std::optional<size_t> Index =
        Keys.find(sectionKind(Entry.Section), Entry.Key);
    if (!Index)
      return makeLineError(Errc::UnknownKey, File.Name, Entry.Line,
                           "key '" + Entry.Key + "' in [" + Entry.Section +
                               "]");
    const Result<double> Value = parseValue(Keys[*Index], Entry.Value);
    if (!Value)
      return withLocation(File, Entry, Value.error());
    const Result<std::monostate> Handled =
        OnEntry(*Index, Entry, Value.value());
    if (!Handled)
      return withLocation(File, Entry, Handled.error());
  }
  return std::monostate();
}

} // namespace bluebellbarrow
