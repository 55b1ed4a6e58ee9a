#include "bulrushrun/customers/CallerIdentification.h"

namespace bulrushrun {

namespace {

KeyRefusal refusalOf(KeyForm aForm)
{
  switch (aForm) {
    case KeyForm::Missing:
      return KeyRefusal::Missing;
    case KeyForm::Malformed:
      return KeyRefusal::Malformed;
    case KeyForm::Repeated:
      return KeyRefusal::Repeated;
    case KeyForm::WellFormed:
      break;
  }
  return KeyRefusal::Unknown;
}

} // namespace

CallerIdentification CallerIdentification::check(const std::optional<CustomerDirectory>& aDirectory,
                                                 bool aAnonymous,
                                                 const PresentedKey& aKey)
{
  if (!aDirectory) {
    return {};
  }
  const Customer* customer =
    aKey.mForm == KeyForm::WellFormed ? aDirectory->findByKey(aKey.mText) : nullptr;
  if (customer != nullptr || aAnonymous) {
    return { customer, std::nullopt };
  }
  return { nullptr, refusalOf(aKey.mForm) };
}

} // namespace bulrushrun
