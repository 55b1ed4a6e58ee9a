#pragma once

#include "bulrushrun/core.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief \returns the rendezvous score of a node for a key; the node with the highest score is
/// assigned the key.
///
/// The probability of being assigned a key is proportional to the weight.
inline double rendezvousScore(std::uint64_t aKey, std::uint64_t aNode, double aWeight)
{
  const std::uint64_t hash = combineHashes(aKey, aNode);
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
  return -aWeight / std::log(uniform);
}

/// \brief Selects the node for a key by weighted rendezvous hashing. O(n) in the number of nodes.
///
/// When a node joins or leaves, only the keys assigned to that node move.
///
/// \param aWeight  function from node to a positive weight
/// \param aHash  function from node to a 64-bit hash of its identity
/// \returns the node with the highest score, or nullptr when there are no nodes
template<class Node, class Weight, class Hash>
const Node* rendezvousWinner(std::uint64_t aKey,
                             const std::vector<Node>& aNodes,
                             Weight aWeight,
                             Hash aHash)
{
  const Node* winner = nullptr;
  double highestScore = -std::numeric_limits<double>::infinity();
  for (const Node& node : aNodes) {
    const double score = rendezvousScore(aKey, aHash(node), aWeight(node));
    if (score > highestScore) {
      highestScore = score;
      winner = &node;
    }
  }
  return winner;
}

} // namespace bulrushrun
