#include "snapshotdefaults.h"

namespace bluebellbarrow {

namespace {

template <typename T>
void store(std::span<const FieldSpec<T>> Fields, const SettingsOverride &Value,
           T &Target) {
  for (const FieldSpec<T> &Field : Fields)
    if (Value.Section == Field.Key.Section && Value.Key == Field.Key.Key)
      setField(Field, Value.Text, Value.NumericValue, Target);
}

} // namespace

std::vector<KeySpec> overridableKeys() {
  std::vector<KeySpec> Keys;
  for (const auto &Field : policyFields())
    Keys.push_back(Field.Key);
  for (const auto &Field : spreadFields())
    Keys.push_back(Field.Key);
  return Keys;
}

SnapshotDefaults
makeSnapshotDefaults(std::span<const SettingsOverride> Overrides) {
  SnapshotDefaults Defaults;
  for (const SettingsOverride &Each : Overrides) {
    store(policyFields(), Each, Defaults.CallPolicy);
    store(spreadFields(), Each, Defaults.Spread);
  }
  return Defaults;
}

} // namespace bluebellbarrow
