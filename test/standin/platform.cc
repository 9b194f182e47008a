// Stand-in for the users' platform: serves two documents from a folder, to be
// read and watched (docs/PROTOCOL.md, "Platform").
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

constexpr auto ReadFolderEvery = std::chrono::milliseconds(20);
constexpr std::size_t MaxWatches = 128;

/// One document, as last read from its file.
class Document {
public:
  explicit Document(std::string Path) : Path_(std::move(Path)) {}

  void reread() {
    std::optional<std::string> Text = readFile(Path_);
    if (!Text)
      return;
    auto Root = nlohmann::json::parse(*Text, nullptr, false);
    if (!Root.is_object() || !Root.contains("version") ||
        !Root["version"].is_number_unsigned())
      return; // half written, or not a document
    std::lock_guard<std::mutex> Guard(Mutex_);
    if (Text_ == *Text)
      return;
    Text_ = std::move(*Text);
    Version_ = Root["version"].get<Version>();
    Changed_.notify_all();
  }

  /// Waits for another version than \p After; empty when none comes.
  std::string watch(Version After, std::chrono::milliseconds Wait) {
    std::unique_lock<std::mutex> Guard(Mutex_);
    bool Newer = Changed_.wait_for(
        Guard, Wait, [&] { return Version_ != 0 && Version_ != After; });
    return Newer ? Text_ : std::string();
  }

private:
  std::string Path_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Text_;
  Version Version_ = 0;
};

void serve(httplib::Server &Server, const char *Path, Document &From) {
  Server.Get(Path, [&From](const httplib::Request &Request,
                           httplib::Response &Response) {
    auto Number = [&](const char *Name) {
      return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
    };
    std::string Text = From.watch(Number("after"),
                                  std::chrono::milliseconds(Number("wait_ms")));
    if (Text.empty())
      Response.status = 204;
    else
      Response.set_content(Text, "application/json");
  });
}

int run(int Count, char **Values) {
  cxxopts::Options Options("standin-platform", "Serves a folder's documents.");
  Options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>())(
      "folder", "holds declaration.json and hosts.json",
      cxxopts::value<std::string>());
  auto Arguments = parseStandin(Options, Count, Values);
  std::string Folder = Arguments["folder"].as<std::string>();
  Document Declaration(Folder + "/declaration.json");
  Document Hosts(Folder + "/hosts.json");
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(MaxWatches); };
  serve(Server, "/v1/watch/declaration", Declaration);
  serve(Server, "/v1/watch/hosts", Hosts);
  std::thread Reader([&] {
    for (;;) {
      Declaration.reread();
      Hosts.reread();
      std::this_thread::sleep_for(ReadFolderEvery);
    }
  });
  Reader.detach();
  std::string Listen = Arguments["listen"].as<std::string>();
  Endpoint Where = parseEndpoint(Listen);
  Listen.resize(Listen.rfind(':'));
  return Server.listen(Listen.c_str(), Where.Port_) ? ExitSuccess : ExitError;
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}
