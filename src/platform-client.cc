#include "platform-client.h"

#include <asio/post.hpp>
#include <atomic>
#include <condition_variable>
#include <future>
#include <httplib.h>
#include <mutex>
#include <random>
#include <thread>

namespace thymewall::detail {

namespace {

using namespace std::chrono_literals;

constexpr auto WatchTimeout = 5s;
constexpr std::chrono::milliseconds MinRetryDelay = 300ms;
constexpr auto HandlerTimeout = 200ms;
const char *const Paths[DocumentKindCount] = {"/v1/watch/declaration",
                                              "/v1/watch/hosts"};

} // namespace

class PlatformClient::Impl {
public:
  Impl(asio::io_context &Context, const Endpoint &Platform, Handler OnAnswer)
      : Context_(Context), OnAnswer_(std::move(OnAnswer)) {
    std::string Url = "http://" + formatEndpoint(Platform);
    for (std::size_t K = 0; K < DocumentKindCount; ++K) {
      Clients_[K] = std::make_unique<httplib::Client>(Url);
      Clients_[K]->set_connection_timeout(1s);
      Clients_[K]->set_read_timeout(WatchTimeout + 2s);
      Threads_[K] = std::thread([this, K] { run(K); });
    }
  }

  ~Impl() {
    {
      std::lock_guard<std::mutex> Guard(Mutex_);
      Stopping_ = true;
    }
    Changed_.notify_all();
    for (auto &Client : Clients_)
      Client->stop();
    for (std::thread &T : Threads_)
      T.join();
  }

  void setKnownVersion(std::size_t Kind, Version Known) {
    KnownVersions_[Kind] = Known;
  }

  void setMaxRetryDelay(std::chrono::milliseconds Delay) {
    MaxRetryDelayMs_ = std::max(Delay, MinRetryDelay).count();
  }

  void setWatching(bool Watching) {
    {
      std::lock_guard<std::mutex> Guard(Mutex_);
      Watching_ = Watching;
    }
    Changed_.notify_all();
  }

  void readNow(std::uint64_t RefreshId) {
    RefreshId_ = RefreshId;
    {
      std::lock_guard<std::mutex> Guard(Mutex_);
      ReadPending_.fill(true);
    }
    Changed_.notify_all();
    for (auto &Client : Clients_)
      Client->stop(); // aborts a long poll in progress
  }

  std::uint64_t calls() const { return Calls_; }

private:
  /// Blocks until a call is due and sets \p LongPoll to its kind. Returns false
  /// when the client stops.
  bool waitForWork(std::size_t Kind, bool &LongPoll) {
    std::unique_lock<std::mutex> Guard(Mutex_);
    Changed_.wait(Guard,
                  [&] { return Stopping_ || Watching_ || ReadPending_[Kind]; });
    LongPoll = !ReadPending_[Kind];
    ReadPending_[Kind] = false;
    return !Stopping_;
  }

  void run(std::size_t Kind) {
    bool LongPoll = false;
    auto Delay = MinRetryDelay;
    std::minstd_rand Random(std::random_device{}());
    while (waitForWork(Kind, LongPoll)) {
      if (call(Kind, LongPoll)) {
        Delay = MinRetryDelay;
        continue;
      }
      std::unique_lock<std::mutex> Guard(Mutex_);
      // A failed read stays pending.
      ReadPending_[Kind] = ReadPending_[Kind] || !LongPoll;
      std::uniform_real_distribution<double> Jitter(0.5, 1);
      Changed_.wait_for(Guard, Delay * Jitter(Random), [&] {
        return Stopping_ || RefreshId_ != HandledRefreshIds_[Kind];
      });
      HandledRefreshIds_[Kind] = RefreshId_;
      Delay = std::min(Delay * 2, std::chrono::milliseconds(MaxRetryDelayMs_));
    }
  }

  bool call(std::size_t Kind, bool LongPoll) {
    ++Calls_;
    PlatformAnswer Answer;
    Answer.RefreshId_ = RefreshId_;
    auto WaitMs =
        std::chrono::milliseconds(LongPoll ? WatchTimeout : 0s).count();
    std::string Path = std::string(Paths[Kind]) +
                       "?after=" + std::to_string(KnownVersions_[Kind]) +
                       "&wait_ms=" + std::to_string(WaitMs);
    auto Result = Clients_[Kind]->Get(Path.c_str());
    if (!Result || (Result->status != 200 && Result->status != 204))
      return false;
    Answer.Kind_ = static_cast<DocumentKind>(Kind);
    if (Result->status == 200)
      Answer.Text_ = Result->body;
    // Waits for the handler, which sets the known version for the next call.
    auto Handled = std::make_shared<std::promise<void>>();
    asio::post(Context_, [this, Answer, Handled] {
      OnAnswer_(Answer);
      Handled->set_value();
    });
    Handled->get_future().wait_for(HandlerTimeout);
    // A document that the handler rejected is sent again at once in every long
    // poll. This is reported as a failure, so that the next call is delayed.
    bool Repeated = Result->status == 200 && Result->body == LastBodies_[Kind];
    if (Result->status == 200)
      LastBodies_[Kind] = std::move(Result->body);
    return !Repeated || !LongPoll;
  }

  asio::io_context &Context_;
  Handler OnAnswer_;
  std::array<std::unique_ptr<httplib::Client>, DocumentKindCount> Clients_;
  std::array<std::string, DocumentKindCount>
      LastBodies_; ///< Each used by its own thread only.
  std::array<std::atomic<Version>, DocumentKindCount> KnownVersions_{};
  std::atomic<std::uint64_t> Calls_{0};
  std::atomic<std::uint64_t> RefreshId_{0};
  std::atomic<std::int64_t> MaxRetryDelayMs_{MinRetryDelay.count()};
  std::array<std::uint64_t, DocumentKindCount> HandledRefreshIds_{};
  /// Guards `HandledRefreshIds_`, `ReadPending_`, `Watching_` and `Stopping_`.
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::array<bool, DocumentKindCount> ReadPending_{true, true};
  bool Watching_ = false;
  bool Stopping_ = false;
  std::array<std::thread, DocumentKindCount>
      Threads_; ///< Last, as the threads use the other members.
};

PlatformClient::PlatformClient(asio::io_context &Context,
                               const Endpoint &Platform, Handler OnAnswer)
    : Impl_(std::make_unique<Impl>(Context, Platform, std::move(OnAnswer))) {}
PlatformClient::~PlatformClient() = default;
void PlatformClient::setKnownVersion(DocumentKind Kind, Version Known) {
  Impl_->setKnownVersion(raw(Kind), Known);
}
void PlatformClient::setWatching(bool Watching) {
  Impl_->setWatching(Watching);
}
void PlatformClient::setMaxRetryDelay(std::chrono::milliseconds Delay) {
  Impl_->setMaxRetryDelay(Delay);
}
void PlatformClient::readNow(std::uint64_t RefreshId) {
  Impl_->readNow(RefreshId);
}
std::uint64_t PlatformClient::calls() const { return Impl_->calls(); }

} // namespace thymewall::detail
