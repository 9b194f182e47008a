/// \file
/// A queue of tasks under virtual time.
#ifndef THYMEWALL_TEST_EVENT_QUEUE_H
#define THYMEWALL_TEST_EVENT_QUEUE_H

#include "thymewall/core.h"

#include <functional>
#include <queue>

namespace thymewall::test {

class EventQueue {
public:
  MonoTime now() const { return Now_; }
  /// Schedules a task; tasks due at the same time run in the order of calls.
  void after(Micros Delay, std::function<void()> Task) {
    Queue_.push({Now_ + Delay, ++Sequence_, std::move(Task)});
  }
  /// Runs all tasks due up to \p Until after the start.
  void run(Micros Until) {
    MonoTime End = Start_ + Until;
    while (!Queue_.empty() && Queue_.top().At_ <= End) {
      ScheduledTask Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.At_;
      Next.Task_();
    }
    Now_ = End;
  }

private:
  struct ScheduledTask {
    MonoTime At_;
    std::uint64_t Sequence_;
    std::function<void()> Task_;
    bool operator<(const ScheduledTask &Other) const {
      return std::tie(Other.At_, Other.Sequence_) < std::tie(At_, Sequence_);
    }
  };

  std::priority_queue<ScheduledTask> Queue_;
  MonoTime Now_{std::chrono::seconds(100)};
  MonoTime Start_ = Now_;
  std::uint64_t Sequence_ = 0;
};

} // namespace thymewall::test

#endif
