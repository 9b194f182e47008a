#include "peer-choice.h"

#include <algorithm>

namespace thymewall::detail {

namespace {

/// Keeps the order of reading apart from other uses of a name's hash.
constexpr std::uint64_t ReadOrder = 0x72656164;

} // namespace

std::vector<Member> choosePeers(std::vector<Member> All, const Member &Self,
                                std::size_t Limit, std::size_t FarLimit) {
  std::uint64_t Salt = nameId(Self.Name_);
  auto Score = [Salt](const Member &M) {
    return hashPair(Salt, nameId(M.Name_));
  };
  std::sort(All.begin(), All.end(), [&](const Member &A, const Member &B) {
    return Score(A) > Score(B);
  });
  auto Far =
      std::stable_partition(All.begin(), All.end(), [&](const Member &M) {
        return M.DataHall_ == Self.DataHall_;
      });
  auto NearCount = static_cast<std::size_t>(Far - All.begin());
  std::size_t FarCount = All.size() - NearCount;
  std::size_t FarShare = std::min(FarCount, FarLimit);
  std::size_t NearShare = std::min(NearCount, Limit - FarShare);
  FarShare = std::min(FarCount, Limit - NearShare);
  std::vector<Member> Chosen(All.begin(),
                             All.begin() + static_cast<long>(NearShare));
  Chosen.insert(Chosen.end(), Far, Far + static_cast<long>(FarShare));
  return Chosen;
}

std::uint64_t readerScore(const std::string &Name) {
  return hashPair(nameId(Name), ReadOrder);
}

} // namespace thymewall::detail
