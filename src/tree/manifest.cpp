#include "manifest.h"

#include "kernel/hashing.h"
#include "kernel/wirearchive.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

constexpr int ManifestFormat = 1;
constexpr size_t ShownDigits = 8;

Error badManifest(const std::string &Detail) {
  return makeError(Errc::BadSyntax, "read manifest", "", Detail);
}

bool wellFormed(const Manifest &Of) {
  const auto SamePath = [](const ManifestEntry &A, const ManifestEntry &B) {
    return A.Path >= B.Path;
  };
  const bool Sorted = std::adjacent_find(Of.Entries.begin(), Of.Entries.end(),
                                         SamePath) == Of.Entries.end();
  return Sorted && Of.Number.value() > 0;
}

/** Reads a digest; throws for a text that is none. */
Digest readDigest(const Json &From) {
  const std::optional<Digest> Read =
      Digest::parse(From.at("digest").get_ref<const std::string &>());
  if (!Read)
    throw std::invalid_argument("a digest is malformed");
  return *Read;
}

} // namespace

const char *resourceKindName(ResourceKind Kind) {
  return Kind == ResourceKind::Config ? "config" : "vm-list";
}

std::string VersionId::text() const {
  if (this->isNone())
    return "none";
  return std::to_string(this->Number.value()) + "-" +
         this->Hash.str().substr(0, ShownDigits);
}

VersionId computeVersionId(const Manifest &Of) {
  return {Of.Number, computeDigest(encode(Of))};
}

std::string formatManifest(const Manifest &Of) {
  Json Branches = Json::array();
  for (const ManifestEntry &Each : Of.Entries)
    Branches.push_back({{"path", Each.Path},
                        {"digest", Each.Hash.str()},
                        {"size", Each.Size}});
  Json Bundles = Json::array();
  for (const ManifestBundle &Each : Of.Bundles)
    Bundles.push_back({{"digest", Each.Hash.str()}, {"size", Each.Size}});
  return Json{{"format", ManifestFormat},     {"mesh", Of.Mesh},
              {"version", Of.Number.value()}, {"parent", Of.Parent.value()},
              {"branches", Branches},         {"bundles", Bundles}}
      .dump();
}

Result<Manifest> parseManifest(const std::string &Text) {
  try {
    const Json Root = Json::parse(Text);
    if (Root.at("format").get<int>() != ManifestFormat)
      return badManifest("format is not supported");
    Manifest Of{.Mesh = Root.at("mesh").get<std::string>(),
                .Number = VersionNumber(Root.at("version").get<uint64_t>()),
                .Parent = VersionNumber(Root.at("parent").get<uint64_t>())};
    for (const Json &Each : Root.at("branches"))
      Of.Entries.push_back({Each.at("path").get<std::string>(),
                            readDigest(Each), Each.at("size").get<uint64_t>()});
    for (const Json &Each : Root.at("bundles"))
      Of.Bundles.push_back({readDigest(Each), Each.at("size").get<uint64_t>()});
    if (!wellFormed(Of))
      return badManifest("paths are not sorted, or the version is 0");
    return Of;
  } catch (const std::exception &Failure) {
    return badManifest(Failure.what());
  }
}

void addPart(Manifest &Of, PartsByDigest &Parts, const std::string &Path,
             const std::string &Text) {
  const Digest Hash = computeDigest(Text);
  Of.Entries.push_back({Path, Hash, Text.size()});
  Parts.emplace(Hash, std::make_shared<const std::string>(Text));
}

std::string formatBundle(const std::vector<PartText> &Parts) {
  Json Texts = Json::array();
  for (const PartText &Each : Parts)
    Texts.push_back(*Each);
  return Texts.dump();
}

Result<PartsByDigest> parseBundle(const std::string &Text) {
  try {
    PartsByDigest Parts;
    const Json Root = Json::parse(Text);
    for (const Json &Each : Root) {
      auto Part = std::make_shared<const std::string>(Each.get<std::string>());
      Parts.emplace(computeDigest(*Part), Part);
    }
    return Parts;
  } catch (const Json::exception &Failure) {
    return makeError(Errc::BadSyntax, "read bundle", "", Failure.what());
  }
}

} // namespace bluebellbarrow
