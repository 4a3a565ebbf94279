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
constexpr size_t DigestPrefixLength = 8;

Error badManifest(const std::string &Detail) {
  return makeError(Errc::BadSyntax, "parse manifest", "", Detail);
}

bool isWellFormed(const Manifest &Content) {
  const auto OutOfOrder = [](const ManifestEntry &A, const ManifestEntry &B) {
    return A.Path >= B.Path;
  };
  const bool Sorted =
      std::adjacent_find(Content.Entries.begin(), Content.Entries.end(),
                         OutOfOrder) == Content.Entries.end();
  return Sorted && Content.Number.value() > 0;
}

/** Parses the digest of \a Source; throws std::exception if malformed. */
Digest parseDigest(const Json &Source) {
  const std::optional<Digest> Parsed =
      Digest::parse(Source.at("digest").get_ref<const std::string &>());
  if (!Parsed)
    throw std::invalid_argument("malformed digest");
  return *Parsed;
}

} // namespace

const char *resourceKindName(ResourceKind Kind) {
  return Kind == ResourceKind::Config ? "config" : "vm-list";
}

std::string VersionId::text() const {
  if (this->isNone())
    return "none";
  return std::to_string(this->Number.value()) + "-" +
         this->Hash.str().substr(0, DigestPrefixLength);
}

VersionId computeVersionId(const Manifest &Content) {
  return {Content.Number, computeDigest(encode(Content))};
}

std::string formatManifest(const Manifest &Content) {
  Json Branches = Json::array();
  for (const ManifestEntry &Entry : Content.Entries)
    Branches.push_back({{"path", Entry.Path},
                        {"digest", Entry.Hash.str()},
                        {"size", Entry.Size}});
  Json Bundles = Json::array();
  for (const ManifestBundle &Bundle : Content.Bundles)
    Bundles.push_back({{"digest", Bundle.Hash.str()}, {"size", Bundle.Size}});
  return Json{{"format", ManifestFormat},
              {"mesh", Content.Mesh},
              {"version", Content.Number.value()},
              {"parent", Content.Parent.value()},
              {"branches", Branches},
              {"bundles", Bundles}}
      .dump();
}

Result<Manifest> parseManifest(const std::string &Text) {
  try {
    const Json Root = Json::parse(Text);
    if (Root.at("format").get<int>() != ManifestFormat)
      return badManifest("unsupported format");
    Manifest Content{
        .Mesh = Root.at("mesh").get<std::string>(),
        .Number = VersionNumber(Root.at("version").get<uint64_t>()),
        .Parent = VersionNumber(Root.at("parent").get<uint64_t>())};
    for (const Json &Entry : Root.at("branches"))
      Content.Entries.push_back({Entry.at("path").get<std::string>(),
                                 parseDigest(Entry),
                                 Entry.at("size").get<uint64_t>()});
    for (const Json &Bundle : Root.at("bundles"))
      Content.Bundles.push_back(
          {parseDigest(Bundle), Bundle.at("size").get<uint64_t>()});
    if (!isWellFormed(Content))
      return badManifest("paths are not sorted, or the version is 0");
    return Content;
  } catch (const std::exception &Exception) {
    return badManifest(Exception.what());
  }
}

void addPart(Manifest &Content, PartsByDigest &Parts, const std::string &Path,
             const std::string &Text) {
  const Digest Hash = computeDigest(Text);
  Content.Entries.push_back({Path, Hash, Text.size()});
  Parts.emplace(Hash, std::make_shared<const std::string>(Text));
}

std::string formatBundle(const std::vector<PartText> &Parts) {
  Json Texts = Json::array();
  for (const PartText &Part : Parts)
    Texts.push_back(*Part);
  return Texts.dump();
}

Result<PartsByDigest> parseBundle(const std::string &Text) {
  try {
    PartsByDigest Parts;
    const Json Root = Json::parse(Text);
    for (const Json &Element : Root) {
      auto Part =
          std::make_shared<const std::string>(Element.get<std::string>());
      Parts.emplace(computeDigest(*Part), Part);
    }
    return Parts;
  } catch (const Json::exception &Exception) {
    return makeError(Errc::BadSyntax, "parse bundle", "", Exception.what());
  }
}

} // namespace bluebellbarrow
