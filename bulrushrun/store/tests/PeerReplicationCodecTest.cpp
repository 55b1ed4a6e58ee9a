#include "bulrushrun/store/PeerReplicationCodec.h"

#include "bulrushrun/store/CompressedText.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

PeerChanges makeChanges()
{
  PeerChanges changes;
  changes.mStaleness = std::chrono::milliseconds(120);
  changes.mProgress[0] = { RecordVersion{ 4 }, RecordVersion{ 5 } };
  changes.mHeld = std::chrono::milliseconds(30);
  changes.mSummaries[1] = { RecordVersion{ 3 }, 77 };
  changes.mRows[1] = { { "k", "v", RecordVersion{ 7 }, true } };
  return changes;
}

TEST(PeerReplicationCodecTest, DecodesChangesAsEncoded)
{
  const std::optional<PeerChanges> decoded =
    decodePeerChanges(encodePeerChanges(makeChanges(), "new key"), { "old key", "new key" });
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mStaleness, std::chrono::milliseconds(120));
  EXPECT_EQ(decoded->mProgress, makeChanges().mProgress);
  EXPECT_EQ(decoded->mHeld, makeChanges().mHeld);
  EXPECT_EQ(decoded->mSummaries, makeChanges().mSummaries);
  ASSERT_EQ(decoded->mRows[1].size(), 1U);
  EXPECT_TRUE(decoded->mRows[1][0].mRemoved);
}

TEST(PeerReplicationCodecTest, RejectsChangesThatAreNotAuthenticOrTruncated)
{
  const std::string bytes = encodePeerChanges(makeChanges(), "key");
  EXPECT_FALSE(decodePeerChanges(bytes, { "another key" }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodePeerChanges(bytes.substr(0, length), { "key" })) << length;
  }
}

/// \returns changes with one row of a large value, as a replica keeps it.
PeerChanges makeLargeChanges(const std::string& aValue)
{
  TableReplica replica;
  replica.apply({ { "k", aValue, RecordVersion{ 7 } } }, RecordVersion{ 7 });
  PeerChanges changes;
  changes.mRows[0] = replica.changesSince(RecordVersion{});
  return changes;
}

/// Guards against large values that fill slow links, and against values that arrive changed.
TEST(PeerReplicationCodecTest, LargeValueIsSentCompressedToARequesterThatReadsIt)
{
  std::string value;
  for (int i = 0; i < 5000; ++i) {
    value += "route " + std::to_string(i) + ",";
  }
  PeerChanges changes = makeLargeChanges(value);
  const std::string plain = encodePeerChanges(changes, "key");
  changes.mAcceptsCompressed = true;
  const std::string compressed = encodePeerChanges(changes, "key");
  EXPECT_GT(plain.size(), value.size()) << "a requester of an older version";
  EXPECT_LT(compressed.size(), value.size() / 3);
  for (const std::string& bytes : { plain, compressed }) {
    const std::optional<PeerChanges> decoded = decodePeerChanges(bytes, { "key" });
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->mRows[0].size(), 1U);
    EXPECT_EQ(decoded->mRows[0][0].mValue, value);
  }
}

/// Guards against a value that decompresses to more, or less, than it states.
TEST(CompressedTextTest, RestoresOnlyWholeTextsWithinTheLimit)
{
  const std::string text(100'000, 'x');
  const std::string bytes = compressText(text);
  EXPECT_LT(bytes.size(), text.size() / 100);
  EXPECT_EQ(decompressText(bytes, text.size() + 1), text);
  EXPECT_FALSE(decompressText(bytes, text.size() - 1));
  EXPECT_FALSE(decompressText(bytes + "x", text.size() + 1));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decompressText(bytes.substr(0, length), text.size() + 1)) << length;
  }
  EXPECT_EQ(decompressText(compressText(""), 1), "");
}

TEST(PeerChangesRequestTest, InstanceOfAnOlderVersionReadsNoCompressedValues)
{
  const std::optional<PeerChangesRequest> request =
    parsePeerChangesRequest("/peer/news?1,2,3,4,5,6");
  ASSERT_TRUE(request);
  EXPECT_FALSE(request->mAcceptsCompressed);
  EXPECT_TRUE(parsePeerChangesRequest(peerChangesPath({}))->mAcceptsCompressed);
}

TEST(PeerChangesRequestTest, IsParsedAsEncoded)
{
  PeerChangesRequest request;
  request.mProgress[1] = { RecordVersion{ 3 }, RecordVersion{ 9 } };
  request.mStaleness = std::chrono::milliseconds(40);
  request.mMaxWait = std::chrono::milliseconds(900);
  const std::optional<PeerChangesRequest> decoded =
    parsePeerChangesRequest(peerChangesPath(request));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mProgress, request.mProgress);
  EXPECT_EQ(decoded->mMaxWait, request.mMaxWait);
  EXPECT_EQ(decoded->mStaleness, request.mStaleness);
  EXPECT_FALSE(parsePeerChangesRequest("/metrics"));
  EXPECT_FALSE(parsePeerChangesRequest("/peer/news?1,2"));
}

/// Guards against a short response that takes many times its bytes when it is decompressed.
TEST(PeerReplicationCodecTest, DecompressedBytesOfAllValuesAreBounded)
{
  const std::string value(std::size_t{ 7 } * 1024 * 1024, 'x');
  const auto isDecoded = [&](int aRows) {
    TableReplica replica;
    for (int i = 1; i <= aRows; ++i) {
      const RecordVersion version{ static_cast<std::uint64_t>(i) };
      replica.apply({ { "k" + std::to_string(i), value, version } }, version);
    }
    PeerChanges changes;
    changes.mRows[0] = replica.changesSince(RecordVersion{});
    changes.mAcceptsCompressed = true;
    const std::string bytes = encodePeerChanges(changes, "key");
    EXPECT_LT(bytes.size(), value.size() / 20);
    return decodePeerChanges(bytes, { "key" }).has_value();
  };
  EXPECT_TRUE(isDecoded(2));
  EXPECT_FALSE(isDecoded(3));
}

} // namespace
} // namespace bulrushrun
