#include "snapshotdefaults.h"

namespace bluebellbarrow {

namespace {

template <typename T>
void applyOverride(std::span<const FieldSpec<T>> Fields,
                   const SettingsOverride &Override, T &Output) {
  for (const FieldSpec<T> &Field : Fields)
    if (Override.Section == Field.Key.Section && Override.Key == Field.Key.Key)
      setField(Field, Override.Text, Override.NumericValue, Output);
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
  for (const SettingsOverride &Override : Overrides) {
    applyOverride(policyFields(), Override, Defaults.CallPolicy);
    applyOverride(spreadFields(), Override, Defaults.Spread);
  }
  return Defaults;
}

} // namespace bluebellbarrow
