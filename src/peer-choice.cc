#include "peer-choice.h"

#include <algorithm>

namespace thymewall::detail {

namespace {

/// Makes reader scores independent of other hashes of the same name.
constexpr std::uint64_t ReaderScoreSalt = 0x72656164;
/// Makes the order of stepping back independent of that of reading.
constexpr std::uint64_t StepBackSalt = 0x73746570;

} // namespace

std::vector<Member> choosePeers(std::vector<Member> All, const Member &Self,
                                std::size_t Limit, std::size_t RemoteLimit) {
  std::uint64_t Salt = nameId(Self.Name_);
  auto Score = [Salt](const Member &M) {
    return hashPair(Salt, nameId(M.Name_));
  };
  std::sort(All.begin(), All.end(), [&](const Member &A, const Member &B) {
    return Score(A) > Score(B);
  });
  auto Remote =
      std::stable_partition(All.begin(), All.end(), [&](const Member &M) {
        return M.DataHall_ == Self.DataHall_;
      });
  auto LocalCount = static_cast<std::size_t>(Remote - All.begin());
  std::size_t RemoteCount = All.size() - LocalCount;
  std::size_t RemoteShare = std::min(RemoteCount, RemoteLimit);
  std::size_t LocalShare = std::min(LocalCount, Limit - RemoteShare);
  RemoteShare = std::min(RemoteCount, Limit - LocalShare);
  std::vector<Member> Chosen(All.begin(),
                             All.begin() + static_cast<long>(LocalShare));
  Chosen.insert(Chosen.end(), Remote, Remote + static_cast<long>(RemoteShare));
  return Chosen;
}

std::uint64_t readerScore(const std::string &Name) {
  return hashPair(nameId(Name), ReaderScoreSalt);
}

std::uint64_t stepBackHash(const std::string &Name) {
  return hashPair(nameId(Name), StepBackSalt);
}

} // namespace thymewall::detail
