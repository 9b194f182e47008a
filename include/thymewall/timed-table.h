/// \file
/// A hash table of rows that expire: rows live in one slab, are found through
/// hash chains and are expired through a timer wheel, so no operation scans the
/// table. Allocates only while the slab grows to its bound.
#ifndef THYMEWALL_TIMED_TABLE_H
#define THYMEWALL_TIMED_TABLE_H

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thymewall {

/// Index links that each row carries; owned by `TimedTable`.
struct RowLinks {
  std::uint32_t HashNext_ = 0;
  std::uint32_t WheelNext_ = 0;
  std::uint32_t WheelPrev_ = 0;
  std::uint32_t Due_ = 0; ///< Wheel tick at which the row expires.
};

/// \tparam Row a type with a `RowLinks Links_` member, a `Key` type and the
/// functions `Key key() const` and `static std::uint64_t hash(const Key &)`.
template <typename Row> class TimedTable {
public:
  using Key = typename Row::Key;

  /// \p Bound is the largest number of rows; a power of two of hash chains is
  /// kept at about one row each.
  explicit TimedTable(std::uint32_t Bound)
      : Bound_(Bound), Rows_(1), Wheel_(WheelSize, 0) {
    Chains_.assign(MinChains, 0);
  }

  Row *find(const Key &Wanted) {
    std::uint32_t At = Chains_[chainOf(Wanted)];
    while (At != 0 && !(Rows_[At].key() == Wanted))
      At = Rows_[At].Links_.HashNext_;
    return At == 0 ? nullptr : &Rows_[At];
  }

  /// Adds a row whose key is not in the table; null when the table is full.
  /// Earlier row pointers become invalid while the slab grows.
  Row *insert(const Row &Value, std::uint32_t Due) {
    assert(find(Value.key()) == nullptr);
    std::uint32_t At = take();
    if (At == 0)
      return nullptr;
    Rows_[At] = Value;
    std::uint32_t &Head = Chains_[chainOf(Value.key())];
    Rows_[At].Links_.HashNext_ = Head;
    Head = At;
    arm(At, Due);
    ++Size_;
    return &Rows_[At];
  }

  /// Moves a row's expiry to another tick.
  void rearm(Row &Which, std::uint32_t Due) {
    std::uint32_t At = indexOf(Which);
    disarm(At);
    arm(At, Due);
  }

  void erase(Row &Which) {
    std::uint32_t At = indexOf(Which);
    disarm(At);
    std::uint32_t *Link = &Chains_[chainOf(Which.key())];
    while (*Link != At)
      Link = &Rows_[*Link].Links_.HashNext_;
    *Link = Rows_[At].Links_.HashNext_;
    Rows_[At].Links_.HashNext_ = Free_;
    Free_ = At;
    --Size_;
  }

  /// Calls \p OnDue(row) for every row due at or before \p Now and erases it,
  /// unless the call rearmed it. The call must not insert or erase rows.
  template <typename Function> void expire(std::uint32_t Now, Function OnDue) {
    if (Now <= Swept_)
      return;
    std::uint32_t Steps = Now - Swept_;
    if (Steps > WheelSize)
      Steps = WheelSize;
    for (std::uint32_t Tick = Now - Steps + 1; Tick != Now + 1; ++Tick)
      sweep(Tick % WheelSize, Now, OnDue);
    Swept_ = Now;
  }

  /// Calls \p Visit(row) for every row; for rare whole-table work only.
  template <typename Function> void forEach(Function Visit) {
    for (std::uint32_t Head : Chains_)
      for (std::uint32_t At = Head; At != 0; At = Rows_[At].Links_.HashNext_)
        Visit(Rows_[At]);
  }

  std::size_t size() const { return Size_; }
  std::size_t capacity() const { return Bound_; }
  /// Bytes held by the slab, the chains and the wheel.
  std::size_t memoryBytes() const {
    return Rows_.capacity() * sizeof(Row) +
           (Chains_.capacity() + Wheel_.capacity()) * sizeof(std::uint32_t);
  }

private:
  static constexpr std::uint32_t WheelSize = 4096;
  static constexpr std::size_t MinChains = 1024;

  std::uint32_t indexOf(const Row &Which) const {
    return static_cast<std::uint32_t>(&Which - Rows_.data());
  }
  std::size_t chainOf(const Key &Wanted) const {
    return Row::hash(Wanted) & (Chains_.size() - 1);
  }

  std::uint32_t take() {
    if (Free_ != 0) {
      std::uint32_t At = Free_;
      Free_ = Rows_[At].Links_.HashNext_;
      return At;
    }
    if (Size_ >= Bound_)
      return 0;
    Rows_.emplace_back();
    if (Rows_.size() > Chains_.size())
      rehash();
    return static_cast<std::uint32_t>(Rows_.size() - 1);
  }

  void rehash() {
    std::vector<std::uint32_t> Old(Chains_.size() * 2, 0);
    Old.swap(Chains_);
    for (std::uint32_t Head : Old)
      for (std::uint32_t At = Head; At != 0;) {
        std::uint32_t Next = Rows_[At].Links_.HashNext_;
        std::uint32_t &Chain = Chains_[chainOf(Rows_[At].key())];
        Rows_[At].Links_.HashNext_ = Chain;
        Chain = At;
        At = Next;
      }
  }

  void arm(std::uint32_t At, std::uint32_t Due) {
    if (Due <= Swept_)
      Due = Swept_ + 1;
    RowLinks &Links = Rows_[At].Links_;
    std::uint32_t &Head = Wheel_[Due % WheelSize];
    Links.Due_ = Due;
    Links.WheelPrev_ = 0;
    Links.WheelNext_ = Head;
    if (Head != 0)
      Rows_[Head].Links_.WheelPrev_ = At;
    Head = At;
  }

  void disarm(std::uint32_t At) {
    RowLinks &Links = Rows_[At].Links_;
    if (Links.WheelNext_ != 0)
      Rows_[Links.WheelNext_].Links_.WheelPrev_ = Links.WheelPrev_;
    if (Links.WheelPrev_ != 0)
      Rows_[Links.WheelPrev_].Links_.WheelNext_ = Links.WheelNext_;
    else
      Wheel_[Links.Due_ % WheelSize] = Links.WheelNext_;
  }

  template <typename Function>
  void sweep(std::uint32_t Slot, std::uint32_t Now, Function &OnDue) {
    std::uint32_t At = Wheel_[Slot];
    while (At != 0) {
      Row &Which = Rows_[At];
      std::uint32_t Next = Which.Links_.WheelNext_;
      std::uint32_t Due = Which.Links_.Due_;
      if (Due <= Now) {
        OnDue(Which);
        if (Which.Links_.Due_ == Due)
          erase(Which);
      }
      At = Next;
    }
  }

  std::uint32_t Bound_;
  std::vector<Row> Rows_; ///< Index 0 is never used.
  std::vector<std::uint32_t> Chains_;
  std::vector<std::uint32_t> Wheel_;
  std::uint32_t Free_ = 0;
  std::uint32_t Size_ = 0;
  std::uint32_t Swept_ = 0;
};

} // namespace thymewall

#endif
