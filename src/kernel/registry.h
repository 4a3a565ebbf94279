#ifndef BLUEBELLBARROW_KERNEL_REGISTRY_H
#define BLUEBELLBARROW_KERNEL_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bluebellbarrow {

/**
 * Factories of plug-ins of one kind, by name. Each plug-in registers itself
 * with a static Registration in its source file.
 *
 * Thread safety: safe once main() runs.
 */
template <typename Interface, typename... Arguments> class Registry {
public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  /** Returns the registry of plug-ins of this kind. */
  static Registry &instance() {
    static Registry Instance;
    return Instance;
  }

  /** Creates a plug-in; returns null for an unknown name. */
  std::unique_ptr<Interface> create(const std::string &Name,
                                    Arguments... Values) const {
    const auto Found = this->Factories.find(Name);
    if (Found == this->Factories.end())
      return nullptr;
    return Found->second(Values...);
  }

  /** Returns the names of all plug-ins, sorted. */
  std::vector<std::string> names() const {
    std::vector<std::string> Names;
    for (const auto &Entry : this->Factories)
      Names.push_back(Entry.first);
    return Names;
  }

  bool contains(const std::string &Name) const {
    return this->Factories.contains(Name);
  }

  /** Registers \a Implementation under a name when it is constructed. */
  template <typename Implementation> struct Registration {
    explicit Registration(const std::string &Name) {
      instance().Factories[Name] = [](Arguments... Values) {
        return std::make_unique<Implementation>(Values...);
      };
    }
  };

private:
  std::map<std::string, Factory> Factories;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_REGISTRY_H
