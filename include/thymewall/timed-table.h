/// \file
/// A hash table with expiring rows: a slab of rows, chained hash buckets and a
/// timer wheel. Lookup, insertion and expiry don't scan the table. Memory is
/// allocated only while the slab grows to its maximum.
#ifndef THYMEWALL_TIMED_TABLE_H
#define THYMEWALL_TIMED_TABLE_H

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thymewall {

/// Intrusive links of a row, as row indexes; used by `TimedTable` only.
struct RowLinks {
  std::uint32_t HashNext_ = 0;
  std::uint32_t WheelNext_ = 0;
  std::uint32_t WheelPrev_ = 0;
  std::uint32_t ExpiryTick_ = 0; ///< Wheel tick at which the row expires.
};

/// A hash table whose rows expire at a tick.
/// \tparam Row a type with a `RowLinks Links_` member, a `Key` type and the
/// functions `Key key() const` and `static std::uint64_t hash(const Key &)`.
template <typename Row> class TimedTable {
public:
  using Key = typename Row::Key;

  /// Holds at most \p MaxRows rows.
  explicit TimedTable(std::uint32_t MaxRows)
      : MaxRows_(MaxRows), Rows_(1), Wheel_(WheelSize, 0) {
    Buckets_.assign(MinBuckets, 0);
  }

  /// Returns the row with this key, or null.
  Row *find(const Key &SearchKey) {
    std::uint32_t Index = Buckets_[bucketOf(SearchKey)];
    while (Index != 0 && !(Rows_[Index].key() == SearchKey))
      Index = Rows_[Index].Links_.HashNext_;
    return Index == 0 ? nullptr : &Rows_[Index];
  }

  /// Adds a row whose key is not in the table; returns null if the table is
  /// full. May invalidate pointers to rows.
  Row *insert(const Row &Value, std::uint32_t ExpiryTick) {
    assert(find(Value.key()) == nullptr);
    std::uint32_t Index = allocateRow();
    if (Index == 0)
      return nullptr;
    Rows_[Index] = Value;
    std::uint32_t &Head = Buckets_[bucketOf(Value.key())];
    Rows_[Index].Links_.HashNext_ = Head;
    Head = Index;
    arm(Index, ExpiryTick);
    ++Size_;
    return &Rows_[Index];
  }

  /// Changes the tick at which a row expires.
  void rearm(Row &Entry, std::uint32_t ExpiryTick) {
    std::uint32_t Index = indexOf(Entry);
    disarm(Index);
    arm(Index, ExpiryTick);
  }

  void erase(Row &Entry) {
    std::uint32_t Index = indexOf(Entry);
    disarm(Index);
    std::uint32_t *Link = &Buckets_[bucketOf(Entry.key())];
    while (*Link != Index)
      Link = &Rows_[*Link].Links_.HashNext_;
    *Link = Rows_[Index].Links_.HashNext_;
    Rows_[Index].Links_.HashNext_ = FreeHead_;
    FreeHead_ = Index;
    --Size_;
  }

  /// Calls \p OnExpired(row) for every row that expires at or before \p Now and
  /// erases the row unless the callback rearmed it. The callback must not
  /// insert or erase rows.
  template <typename Function>
  void expire(std::uint32_t Now, Function OnExpired) {
    if (Now <= LastTick_)
      return;
    std::uint32_t Steps = Now - LastTick_;
    if (Steps > WheelSize)
      Steps = WheelSize;
    for (std::uint32_t Tick = Now - Steps + 1; Tick != Now + 1; ++Tick)
      expireSlot(Tick % WheelSize, Now, OnExpired);
    LastTick_ = Now;
  }

  /// Calls \p Visit(row) for every row; takes time linear in the table.
  template <typename Function> void forEach(Function Visit) {
    for (std::uint32_t Head : Buckets_)
      for (std::uint32_t Index = Head; Index != 0;
           Index = Rows_[Index].Links_.HashNext_)
        Visit(Rows_[Index]);
  }

  std::size_t size() const { return Size_; }
  std::size_t maxRows() const { return MaxRows_; }
  /// Bytes allocated for the slab, the buckets and the wheel.
  std::size_t memoryBytes() const {
    return Rows_.capacity() * sizeof(Row) +
           (Buckets_.capacity() + Wheel_.capacity()) * sizeof(std::uint32_t);
  }

private:
  static constexpr std::uint32_t WheelSize = 4096;
  static constexpr std::size_t MinBuckets = 1024;

  std::uint32_t indexOf(const Row &Entry) const {
    return static_cast<std::uint32_t>(&Entry - Rows_.data());
  }
  std::size_t bucketOf(const Key &SearchKey) const {
    return Row::hash(SearchKey) & (Buckets_.size() - 1);
  }

  std::uint32_t allocateRow() {
    if (FreeHead_ != 0) {
      std::uint32_t Index = FreeHead_;
      FreeHead_ = Rows_[Index].Links_.HashNext_;
      return Index;
    }
    if (Size_ >= MaxRows_)
      return 0;
    Rows_.emplace_back();
    if (Rows_.size() > Buckets_.size())
      rehash();
    return static_cast<std::uint32_t>(Rows_.size() - 1);
  }

  void rehash() {
    std::vector<std::uint32_t> Old(Buckets_.size() * 2, 0);
    Old.swap(Buckets_);
    for (std::uint32_t Head : Old)
      for (std::uint32_t Index = Head; Index != 0;) {
        std::uint32_t Next = Rows_[Index].Links_.HashNext_;
        std::uint32_t &Bucket = Buckets_[bucketOf(Rows_[Index].key())];
        Rows_[Index].Links_.HashNext_ = Bucket;
        Bucket = Index;
        Index = Next;
      }
  }

  void arm(std::uint32_t Index, std::uint32_t ExpiryTick) {
    if (ExpiryTick <= LastTick_)
      ExpiryTick = LastTick_ + 1;
    RowLinks &Links = Rows_[Index].Links_;
    std::uint32_t &Head = Wheel_[ExpiryTick % WheelSize];
    Links.ExpiryTick_ = ExpiryTick;
    Links.WheelPrev_ = 0;
    Links.WheelNext_ = Head;
    if (Head != 0)
      Rows_[Head].Links_.WheelPrev_ = Index;
    Head = Index;
  }

  void disarm(std::uint32_t Index) {
    RowLinks &Links = Rows_[Index].Links_;
    if (Links.WheelNext_ != 0)
      Rows_[Links.WheelNext_].Links_.WheelPrev_ = Links.WheelPrev_;
    if (Links.WheelPrev_ != 0)
      Rows_[Links.WheelPrev_].Links_.WheelNext_ = Links.WheelNext_;
    else
      Wheel_[Links.ExpiryTick_ % WheelSize] = Links.WheelNext_;
  }

  template <typename Function>
  void expireSlot(std::uint32_t Slot, std::uint32_t Now, Function &OnExpired) {
    std::uint32_t Index = Wheel_[Slot];
    while (Index != 0) {
      Row &Entry = Rows_[Index];
      std::uint32_t Next = Entry.Links_.WheelNext_;
      std::uint32_t ExpiryTick = Entry.Links_.ExpiryTick_;
      if (ExpiryTick <= Now) {
        OnExpired(Entry);
        if (Entry.Links_.ExpiryTick_ == ExpiryTick)
          erase(Entry);
      }
      Index = Next;
    }
  }

  std::uint32_t MaxRows_;
  std::vector<Row> Rows_; ///< Index 0 is unused; it means "none".
  std::vector<std::uint32_t> Buckets_;
  std::vector<std::uint32_t> Wheel_;
  std::uint32_t FreeHead_ = 0;
  std::uint32_t Size_ = 0;
  std::uint32_t LastTick_ = 0;
};

} // namespace thymewall

#endif
