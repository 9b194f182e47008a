/// \file
/// Messages of the control plane, and the selection of peers and of platform
/// watchers. Does no I/O.
#ifndef THYMEWALL_CONTROL_H
#define THYMEWALL_CONTROL_H

#include "thymewall/host-list.h"
#include "thymewall/message.h"
#include "thymewall/succession.h"

#include <variant>

namespace thymewall {

/// Documents that customers publish and balancers replicate to each other.
enum class DocumentKind : std::uint8_t { Declaration, Hosts };
constexpr std::size_t DocumentKindCount = 2;

/// Orders the documents of one kind: by version, then by digest.
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

/// Time since a balancer of the sender's data hall last had an answer from the
/// platform, as far as the sender knows.
struct WatcherAge {
  BalancerId Watcher_{};
  std::uint32_t AgeMs_ = 0;
};
constexpr std::size_t MaxWatcherAges = 4;

/// Sent on every link each second and whenever a document version changes.
struct Heartbeat {
  std::string Name_;
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
  DocumentVersions Versions_{};
  std::vector<WatcherAge> Watchers_; ///< The `MaxWatcherAges` most recent.
  std::uint64_t RefreshId_ = 0; ///< The `HeartbeatRequest` that it answers.
};
/// Asks for a new heartbeat, which repeats the `RefreshId_`.
struct HeartbeatRequest {
  std::uint64_t RefreshId_ = 0;
};
/// Asks for a document after a heartbeat announced a newer version.
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

/// Largest encoded control message: a document and its envelope.
constexpr std::size_t MaxControlMessageBytes = MaxDocumentBytes + 1024;

/// Encodes \p M as CBOR, prefixed with a 128-bit SipHash-2-4 tag.
std::string encodeControl(const ControlMessage &M, const SecretKey &Secret);

/// Verifies and decodes a message; the tag may be made with either key. Returns
/// `Malformed`, `Oversized` or `BadTag` on failure and leaves \p M unchanged.
ErrorKind decodeControl(const std::string &Bytes,
                        const std::array<SecretKey, 2> &Keys,
                        ControlMessage &M);

/// Returns the balancers that \p Self links to, at most \p Limit, by rendezvous
/// hashing. At least half are in other data halls where enough exist there.
std::vector<Host> choosePeers(const HostList &Hosts, const std::string &Self,
                              const std::string &DataHall, std::size_t Limit);

/// Returns true if \p Self is one of the \p PerHall balancers of its data hall
/// that watch the platform. Balancers in \p Stale have had no recent answer
/// from the platform and are not counted, so that others take their place.
bool watchesPlatform(const HostList &Hosts, const std::string &Self,
                     const std::string &DataHall, std::size_t PerHall,
                     const std::vector<std::string> &Stale);

} // namespace thymewall

#endif
