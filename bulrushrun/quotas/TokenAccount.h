#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bulrushrun {

/// \brief Tokens that one instance holds of one limit.
class TokenAccount
{
public:
  /// \brief Adds tokens. \param aCounted  granted by a coordinator, to which their use is reported
  void add(std::uint64_t aTokens, TimePoint aExpires, bool aCounted);
  /// \brief Takes the token that expires first. \returns false when there is none
  bool take(TimePoint aNow);
  /// \brief Adds a token that was taken for a request that was not executed.
  void giveBack(TimePoint aExpires);
  /// \brief Discards all tokens and counts, at the start of a session.
  void reset();

  /// \brief \returns the tokens that can be taken.
  std::uint64_t available(TimePoint aNow);
  std::uint64_t spent() const { return mSpent; }
  std::uint64_t lapsed() const { return mLapsed; }
  /// \brief \returns the tokens that expired unused since the last call, for the metrics.
  std::uint64_t takeNewlyLapsed();

private:
  struct Tokens
  {
    TimePoint mExpires;
    std::uint64_t mCount = 0;
    /// Granted by a coordinator, to which its use is reported.
    bool mCounted = false;
  };

  void expire(TimePoint aNow);
  void insert(Tokens aTokens);

  /// Ordered by expiry.
  std::deque<Tokens> mTokens;
  /// Of the coordinator's tokens, since the session began.
  std::uint64_t mSpent = 0;
  std::uint64_t mLapsed = 0;
  std::uint64_t mNewlyLapsed = 0;
};

} // namespace bulrushrun
