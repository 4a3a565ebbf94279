#include "snapshotdefaults.h"

namespace bluebellbarrow {

namespace {

template <typename T>
void store(std::span<const FieldSpec<T>> Fields, const SettingsOverride &Value,
           T &Target) {
  for (const FieldSpec<T> &Field : Fields)
    if (Value.Section == Field.Key.Section && Value.Key == Field.Key.Key)
      storeField(Field, Value.Text, Value.Base, Target);
}

} // namespace

std::vector<KeySpec> defaultKeys() {
  std::vector<KeySpec> Keys;
  for (const auto &Field : policyFields())
    Keys.push_back(Field.Key);
  for (const auto &Field : spreadFields())
    Keys.push_back(Field.Key);
  return Keys;
}

SnapshotDefaults defaultsFrom(std::span<const SettingsOverride> Overrides) {
  SnapshotDefaults Defaults;
  for (const SettingsOverride &Each : Overrides) {
    store(policyFields(), Each, Defaults.Calls);
    store(spreadFields(), Each, Defaults.Spread);
  }
  return Defaults;
}

} // namespace bluebellbarrow
