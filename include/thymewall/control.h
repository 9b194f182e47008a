/// \file
/// The control plane's decisions and messages: which peers to link to, who
/// watches the platform, and how documents spread. No sockets in here.
#ifndef THYMEWALL_CONTROL_H
#define THYMEWALL_CONTROL_H

#include "thymewall/host-list.h"
#include "thymewall/message.h"
#include "thymewall/succession.h"

#include <variant>

namespace thymewall {

/// The documents that the users publish and balancers spread.
enum class DocumentKind : std::uint8_t { Declaration, Hosts };
constexpr std::size_t DocumentKindCount = 2;

/// A document's place in the order of documents of its kind.
struct DocumentVersion {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0;
};
inline bool operator==(const DocumentVersion &A, const DocumentVersion &B) {
  return A.Version_ == B.Version_ && A.Digest_ == B.Digest_;
}
inline bool operator<(const DocumentVersion &A, const DocumentVersion &B) {
  return std::tie(A.Version_, A.Digest_) < std::tie(B.Version_, B.Digest_);
}
using DocumentVersions = std::array<DocumentVersion, DocumentKindCount>;

/// When a balancer of the sender's data hall last had an answer from the
/// platform, as far as the sender has heard.
struct WatcherAge {
  BalancerId Watcher_{};
  std::uint32_t AgeMs_ = 0;
};
constexpr std::size_t MaxWatcherAges = 4;

/// Sent on every link each second, and at once when a version changes.
struct Heartbeat {
  std::string Name_;
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
  DocumentVersions Versions_{};
  std::vector<WatcherAge> Watchers_; ///< The freshest few.
  std::uint64_t RefreshId_ = 0; ///< The `HeartbeatRequest` that it answers.
};
/// Asks for a heartbeat made after this was sent.
struct HeartbeatRequest {
  std::uint64_t RefreshId_ = 0;
};
/// Asks for a document that a heartbeat has shown to be newer.
struct DocumentRequest {
  DocumentKind Kind_ = DocumentKind::Declaration;
};
struct DocumentMessage {
  DocumentKind Kind_ = DocumentKind::Declaration;
  std::string Text_;
};
struct SuccessionMessage {
  Succession Succession_;
};
using ControlMessage = std::variant<Heartbeat, DocumentRequest, DocumentMessage,
                                    SuccessionMessage, HeartbeatRequest>;

/// Largest control message: a document and its frame.
constexpr std::size_t MaxControlMessageBytes = MaxDocumentBytes + 1024;

/// CBOR behind a 128-bit SipHash tag under \p Secret.
std::string encodeControl(const ControlMessage &M, const SecretKey &Secret);

/// `Malformed`, `Oversized` or `BadTag` leave \p M as it was.
ErrorKind decodeControl(const std::string &Bytes,
                        const std::array<SecretKey, 2> &Keys,
                        ControlMessage &M);

/// The balancers that \p Self links to: at most \p Limit, at least half of
/// them in other data halls when there are any, by rendezvous hashing.
std::vector<Host> choosePeers(const HostList &Hosts, const std::string &Self,
                              const std::string &DataHall, std::size_t Limit);

/// True when \p Self is among the \p PerHall balancers of its data hall that
/// watch the platform. \p Silent names those that are not known to have had an
/// answer of it of late: others step in for them.
bool watchesPlatform(const HostList &Hosts, const std::string &Self,
                     const std::string &DataHall, std::size_t PerHall,
                     const std::vector<std::string> &Silent);

} // namespace thymewall

#endif
