// Stand-in for the users' platform: serves the declaration and the host list
// from a folder, with long polling (docs/PROTOCOL.md, "Platform").
#include "standin-options.h"

#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <httplib.h>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

constexpr auto FolderPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t MaxWatches = 128;

/// Document with the content that was last read from its file.
class Document {
public:
  explicit Document(std::string Path) : Path_(std::move(Path)) {}

  void reload() {
    std::optional<std::string> Text = readFile(Path_);
    if (!Text)
      return;
    auto Root = nlohmann::json::parse(*Text, nullptr, false);
    if (!Root.is_object() || !Root.contains("version") ||
        !Root["version"].is_number_unsigned())
      return; // partly written or invalid
    std::lock_guard<std::mutex> Guard(Mutex_);
    if (Text_ == *Text)
      return;
    Text_ = std::move(*Text);
    Version_ = Root["version"].get<Version>();
    Changed_.notify_all();
  }

  /// Waits up to \p Wait for a version other than \p After. Returns its text,
  /// or an empty string on timeout.
  std::string watch(Version After, std::chrono::milliseconds Wait) {
    std::unique_lock<std::mutex> Guard(Mutex_);
    bool Changed = Changed_.wait_for(
        Guard, Wait, [&] { return Version_ != 0 && Version_ != After; });
    return Changed ? Text_ : std::string();
  }

private:
  std::string Path_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Text_;
  Version Version_ = 0;
};

void serveDocument(httplib::Server &Server, const char *Path,
                   Document &Source) {
  Server.Get(Path, [&Source](const httplib::Request &Request,
                             httplib::Response &Response) {
    auto NumberParam = [&](const char *Name) {
      return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
    };
    std::string Text =
        Source.watch(NumberParam("after"),
                     std::chrono::milliseconds(NumberParam("wait_ms")));
    if (Text.empty())
      Response.status = 204;
    else
      Response.set_content(Text, "application/json");
  });
}

int run(int Count, char **Values) {
  cxxopts::Options Options("standin-platform",
                           "Serves the documents in a folder.");
  Options.add_options()("listen", "IP:PORT to listen on",
                        cxxopts::value<std::string>())(
      "folder", "folder of declaration.json and hosts.json",
      cxxopts::value<std::string>());
  auto Arguments = parseStandinOptions(Options, Count, Values);
  std::string Folder = Arguments["folder"].as<std::string>();
  Document Declaration(Folder + "/declaration.json");
  Document HostList(Folder + "/hosts.json");
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(MaxWatches); };
  serveDocument(Server, "/v1/watch/declaration", Declaration);
  serveDocument(Server, "/v1/watch/hosts", HostList);
  std::thread Reader([&] {
    for (;;) {
      Declaration.reload();
      HostList.reload();
      std::this_thread::sleep_for(FolderPollInterval);
    }
  });
  Reader.detach();
  std::string Listen = Arguments["listen"].as<std::string>();
  Endpoint Address = parseEndpoint(Listen);
  Listen.resize(Listen.rfind(':'));
  return Server.listen(Listen.c_str(), Address.Port_) ? ExitSuccess : ExitError;
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}
