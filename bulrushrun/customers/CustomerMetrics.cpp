#include "bulrushrun/customers/CustomerMetrics.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace bulrushrun {

namespace {

/// \returns the text as the value of a label.
std::string escapeLabel(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '"' || letter == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(letter);
  }
  return escaped;
}

void appendHead(const std::string& aName, const char* aHelp, std::string& aText)
{
  aText += "# HELP " + aName + " " + aHelp + "\n# TYPE " + aName + " counter\n";
}

} // namespace

void CustomerMetrics::setCustomers(const CustomerDirectory& aCustomers)
{
  mHasCustomers = true;
  std::erase_if(mTotals, [&](const std::pair<const CustomerName, std::uint64_t>& aEntry) {
    return aCustomers.findByName(aEntry.first) == nullptr;
  });
  std::erase_if(mNamed, [&](const std::pair<const CustomerName, Counts>& aEntry) {
    const bool isGone = aCustomers.findByName(aEntry.first) == nullptr;
    if (isGone) {
      foldIntoOthers(aEntry.second);
    }
    return isGone;
  });
}

void CustomerMetrics::foldIntoOthers(const Counts& aCounts)
{
  mOthers.mRequests += aCounts.mRequests;
  mOthers.mRefusals += aCounts.mRefusals;
}

CustomerMetrics::Counts& CustomerMetrics::countsOf(const CustomerName& aCustomer)
{
  const auto found = mNamed.find(aCustomer);
  if (found != mNamed.end()) {
    return found->second;
  }
  return mNamed.size() < kMaxNamed ? mNamed[aCustomer] : mOthers;
}

void CustomerMetrics::onRequest(const CustomerName& aCustomer)
{
  ++mTotals[aCustomer];
  ++countsOf(aCustomer).mRequests;
}

void CustomerMetrics::onRefusal(const CustomerName& aCustomer)
{
  ++countsOf(aCustomer).mRefusals;
}

void CustomerMetrics::updateRanking()
{
  if (mTotals.size() <= kMaxNamed) {
    return;
  }
  struct Rank
  {
    std::uint64_t mRequests = 0;
    /// Among equal customers, those that have series keep them.
    bool mIsNamed = false;
    const CustomerName* mName = nullptr;
  };
  std::vector<Rank> ranked;
  ranked.reserve(mTotals.size());
  for (const auto& [name, requests] : mTotals) {
    ranked.push_back({ requests, mNamed.contains(name), &name });
  }
  const auto comesFirst = [](const Rank& aLeft, const Rank& aRight) {
    return std::tie(aRight.mRequests, aRight.mIsNamed, *aLeft.mName) <
           std::tie(aLeft.mRequests, aLeft.mIsNamed, *aRight.mName);
  };
  std::nth_element(ranked.begin(), ranked.begin() + kMaxNamed, ranked.end(), comesFirst);
  std::set<CustomerName> first;
  for (std::size_t i = 0; i < kMaxNamed; ++i) {
    first.insert(*ranked[i].mName);
  }
  std::erase_if(mNamed, [&](const std::pair<const CustomerName, Counts>& aEntry) {
    const bool isDisplaced = !first.contains(aEntry.first);
    if (isDisplaced) {
      foldIntoOthers(aEntry.second);
    }
    return isDisplaced;
  });
  for (const CustomerName& name : first) {
    mNamed.try_emplace(name);
  }
}

void CustomerMetrics::renderCounter(const char* aName,
                                    const char* aHelp,
                                    std::uint64_t Counts::*aCount,
                                    std::string& aText) const
{
  const std::string name = std::string{ "bulrushrun_" } + aName;
  appendHead(name, aHelp, aText);
  for (const auto& [customer, counts] : mNamed) {
    aText += name + "{customer=\"" + escapeLabel(customer.text()) + "\"} " +
             std::to_string(counts.*aCount) + "\n";
  }
  // A label of its own: a customer may be named "other".
  aText += name + "{other=\"true\"} " + std::to_string(mOthers.*aCount) + "\n";
}

void CustomerMetrics::render(std::string& aText) const
{
  if (!mHasCustomers) {
    return;
  }
  renderCounter("customer_requests_total", "Requests with a known key.", &Counts::mRequests, aText);
  renderCounter("customer_refusals_total",
                "Requests with a known key that were refused without having been executed.",
                &Counts::mRefusals,
                aText);
  const std::string name = "bulrushrun_key_refusals_total";
  appendHead(name, "Responses with status 401, by reason.", aText);
  for (const KeyRefusal refusal : kAllKeyRefusals) {
    aText += name + "{reason=\"" + describe(refusal) + "\"} " +
             std::to_string(mKeyRefusals[static_cast<std::size_t>(refusal)]) + "\n";
  }
}

} // namespace bulrushrun
