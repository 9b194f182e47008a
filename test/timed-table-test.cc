#include "thymewall/flow-table.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace thymewall;

namespace {

FlowRow makeRow(std::uint64_t Flow) {
  FlowRow Row;
  Row.Flow_ = FlowId{Flow};
  return Row;
}

FlowKey makeKey(std::uint64_t Flow) { return {ServiceId{}, FlowId{Flow}}; }

} // namespace

TEST_CASE("table matches a model under random operations") {
  CHECK(rc::check("insert, rearm, erase, expire", [] {
    FlowTable Table(64);
    std::map<std::uint64_t, std::uint32_t> Model; // flow to expiry tick
    std::uint32_t Now = 0;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 10'000)));
    for (auto [Kind, Value] : Steps) {
      auto Flow = static_cast<std::uint64_t>(Value % 100);
      std::uint32_t Due = Now + 1 + static_cast<std::uint32_t>(Value);
      FlowRow *Row = Table.find(makeKey(Flow));
      RC_ASSERT((Row != nullptr) == (Model.count(Flow) != 0));
      if (Kind == 0 && !Row) {
        bool Inserted = Table.insert(makeRow(Flow), Due) != nullptr;
        RC_ASSERT(Inserted == (Model.size() < 64));
        if (Inserted)
          Model[Flow] = Due;
      } else if (Kind == 1 && Row) {
        Table.rearm(*Row, Due);
        Model[Flow] = Due;
      } else if (Kind == 2 && Row) {
        Table.erase(*Row);
        Model.erase(Flow);
      } else if (Kind == 3) {
        Now += static_cast<std::uint32_t>(Value);
        std::set<std::uint64_t> Expired;
        Table.expire(Now, [&](FlowRow &R) { Expired.insert(raw(R.Flow_)); });
        std::set<std::uint64_t> Expected;
        for (auto [ExpiredFlow, Tick] : Model)
          if (Tick <= Now)
            Expected.insert(ExpiredFlow);
        RC_ASSERT(Expired == Expected);
        for (std::uint64_t ExpiredFlow : Expected)
          Model.erase(ExpiredFlow);
      }
      RC_ASSERT(Table.size() == Model.size());
    }
  }));
}

TEST_CASE("row rearmed by the expiry callback is kept") {
  FlowTable Table(8);
  Table.insert(makeRow(1), 5);
  Table.expire(5, [&](FlowRow &Row) { Table.rearm(Row, 9); });
  CHECK(Table.find(makeKey(1)) != nullptr);
  Table.expire(9, [](FlowRow &) {});
  CHECK(Table.find(makeKey(1)) == nullptr);
}

TEST_CASE("each request number is used once, in any order") {
  CHECK(rc::check("window of 64", [] {
    FlowRow Row;
    std::set<std::uint32_t> Used = {0};
    auto Numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(1, 300));
    std::uint32_t Highest = 0;
    for (std::uint32_t Number : Numbers) {
      bool TooOld = Number + FlowRow::WindowWidth <= Highest;
      RC_ASSERT(Row.isNumberUsed(Number) ==
                (TooOld || Used.count(Number) != 0));
      Row.markNumberUsed(Number);
      RC_ASSERT(Row.isNumberUsed(Number));
      Used.insert(Number);
      Highest = std::max(Highest, Number);
    }
  }));
}
