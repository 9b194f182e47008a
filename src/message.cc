#include "thymewall/message.h"

#include <cbor.h>
#include <cstring>
#include <sodium.h>

namespace thymewall {

bool operator==(const Bytes &A, const Bytes &B) {
  return A.Size_ == B.Size_ &&
         (A.Size_ == 0 || std::memcmp(A.Data_, B.Data_, A.Size_) == 0);
}

bool operator==(const Message &A, const Message &B) {
  auto Fields = [](const Message &M) {
    return std::tie(M.Kind_, M.Service_, M.Flow_, M.Request_, M.Part_, M.Parts_,
                    M.Flags_, M.Deadline_, M.Attempt_, M.Epoch_, M.Incarnation_,
                    M.Reason_, M.RetryAt_, M.OpenFlows_, M.Route_, M.Caller_,
                    M.Payload_);
  };
  return Fields(A) == Fields(B);
}

Message makeReply(const Message &M, MessageKind K) {
  Message Result;
  Result.Kind_ = K;
  Result.Service_ = M.Service_;
  Result.Flow_ = M.Flow_;
  Result.Request_ = M.Request_;
  return Result;
}

namespace {

constexpr std::size_t FieldCount = 18;
constexpr std::size_t EndpointSize = 18;
constexpr std::size_t TagSize = crypto_shorthash_siphashx24_BYTES;
static_assert(crypto_shorthash_siphashx24_KEYBYTES == sizeof(SecretKey));

/// Writes CBOR items to a buffer; `ok` is false once an item doesn't fit.
class Writer {
public:
  Writer(std::uint8_t *Buffer, std::size_t Size)
      : Cursor_(Buffer), Remaining_(Size) {}

  void array(std::size_t Count) {
    commit(cbor_encode_array_start(Count, Cursor_, Remaining_));
  }
  void number(std::uint64_t Value) {
    commit(cbor_encode_uint(Value, Cursor_, Remaining_));
  }
  void bytes(Bytes Value) {
    commit(cbor_encode_bytestring_start(Value.Size_, Cursor_, Remaining_));
    if (!Ok_ || Remaining_ < Value.Size_) {
      Ok_ = false;
      return;
    }
    if (Value.Size_ != 0)
      std::memcpy(Cursor_, Value.Data_, Value.Size_);
    advance(Value.Size_);
  }
  void endpoint(const Endpoint &Where) {
    if (Where.empty())
      return bytes({});
    std::uint8_t Raw[EndpointSize];
    std::memcpy(Raw, Where.Ip_.data(), Where.Ip_.size());
    Raw[16] = static_cast<std::uint8_t>(Where.Port_ >> 8);
    Raw[17] = static_cast<std::uint8_t>(Where.Port_);
    bytes({Raw, sizeof Raw});
  }
  bool ok() const { return Ok_; }
  const std::uint8_t *cursor() const { return Cursor_; }

private:
  void commit(std::size_t Written) {
    Ok_ = Ok_ && Written != 0;
    advance(Written);
  }
  void advance(std::size_t Count) {
    Cursor_ += Count;
    Remaining_ -= Count;
  }
  std::uint8_t *Cursor_;
  std::size_t Remaining_;
  bool Ok_ = true;
};

/// A decoded item, filled in by the callbacks of libcbor.
struct Item {
  enum class Type { Other, Number, Bytes, Array } Type_ = Type::Other;
  std::uint64_t Number_ = 0;
  Bytes Bytes_;
};

template <typename T> void onNumber(void *Context, T Value) {
  auto *Target = static_cast<Item *>(Context);
  Target->Type_ = Item::Type::Number;
  Target->Number_ = Value;
}

cbor_callbacks makeCallbacks() {
  cbor_callbacks Callbacks = cbor_empty_callbacks;
  Callbacks.uint8 = onNumber<std::uint8_t>;
  Callbacks.uint16 = onNumber<std::uint16_t>;
  Callbacks.uint32 = onNumber<std::uint32_t>;
  Callbacks.uint64 = onNumber<std::uint64_t>;
  Callbacks.byte_string = [](void *Context, cbor_data Data, auto Size) {
    auto *Target = static_cast<Item *>(Context);
    Target->Type_ = Item::Type::Bytes;
    Target->Bytes_ = {Data, static_cast<std::size_t>(Size)};
  };
  Callbacks.array_start = [](void *Context, auto Count) {
    auto *Target = static_cast<Item *>(Context);
    Target->Type_ = Item::Type::Array;
    Target->Number_ = Count;
  };
  return Callbacks;
}

const cbor_callbacks ItemCallbacks = makeCallbacks();

/// Reads CBOR items; `ok` is false from the first unexpected item on.
class Reader {
public:
  Reader(const std::uint8_t *Data, std::size_t Size)
      : Cursor_(Data), Remaining_(Size) {}

  bool array(std::size_t Count) {
    Item I = next(Item::Type::Array);
    Ok_ = Ok_ && I.Number_ == Count;
    return Ok_;
  }
  std::uint64_t number(std::uint64_t Max) {
    Item I = next(Item::Type::Number);
    Ok_ = Ok_ && I.Number_ <= Max;
    return Ok_ ? I.Number_ : 0;
  }
  template <typename T> T number() {
    return static_cast<T>(number(static_cast<T>(~T{0})));
  }
  WallTime time() {
    return WallTime(Micros(number(static_cast<std::uint64_t>(INT64_MAX))));
  }
  Bytes bytes(std::size_t Max) {
    Item I = next(Item::Type::Bytes);
    Ok_ = Ok_ && I.Bytes_.Size_ <= Max;
    return Ok_ ? I.Bytes_ : Bytes{};
  }
  Endpoint endpoint() {
    Bytes Raw = bytes(EndpointSize);
    Endpoint Result;
    if (!Ok_ || Raw.empty())
      return Result;
    Ok_ = Raw.Size_ == EndpointSize;
    if (!Ok_)
      return Result;
    std::memcpy(Result.Ip_.data(), Raw.Data_, Result.Ip_.size());
    Result.Port_ =
        static_cast<std::uint16_t>(Raw.Data_[16] << 8 | Raw.Data_[17]);
    return Result;
  }
  bool ok() const { return Ok_; }
  bool done() const { return Ok_ && Remaining_ == 0; }

private:
  Item next(enum Item::Type Wanted) {
    Item I;
    if (!Ok_)
      return I;
    cbor_decoder_result Result =
        cbor_stream_decode(Cursor_, Remaining_, &ItemCallbacks, &I);
    Ok_ = Result.status == CBOR_DECODER_FINISHED && I.Type_ == Wanted;
    if (!Ok_)
      return I;
    Cursor_ += Result.read;
    Remaining_ -= Result.read;
    return I;
  }
  const std::uint8_t *Cursor_;
  std::size_t Remaining_;
  bool Ok_ = true;
};

std::uint64_t toMicros(WallTime When) {
  return static_cast<std::uint64_t>(When.time_since_epoch().count());
}

void writeMessage(Writer &W, const Message &M) {
  W.array(FieldCount);
  W.number(ProtocolVersion);
  W.number(raw(M.Kind_));
  W.number(raw(M.Service_));
  W.number(raw(M.Flow_));
  W.number(M.Request_);
  W.number(M.Part_);
  W.number(M.Parts_);
  W.number(M.Flags_);
  W.number(toMicros(M.Deadline_));
  W.number(M.Attempt_);
  W.number(M.Epoch_);
  W.number(raw(M.Incarnation_));
  W.number(raw(M.Reason_));
  W.number(toMicros(M.RetryAt_));
  W.number(M.OpenFlows_);
  W.bytes(M.Route_);
  W.endpoint(M.Caller_);
  W.bytes(M.Payload_);
}

bool readMessage(Reader &R, Message &M) {
  if (!R.array(FieldCount) || R.number(ProtocolVersion) != ProtocolVersion)
    return false;
  auto KindNumber = R.number(raw(MessageKind::Last));
  if (KindNumber == 0)
    return false;
  M.Kind_ = static_cast<MessageKind>(KindNumber);
  M.Service_ = static_cast<ServiceId>(R.number<std::uint32_t>());
  M.Flow_ = static_cast<FlowId>(R.number<std::uint64_t>());
  M.Request_ = R.number<std::uint32_t>();
  M.Part_ = R.number<std::uint16_t>();
  M.Parts_ = static_cast<std::uint16_t>(R.number(MaxParts));
  M.Flags_ = R.number<std::uint8_t>();
  M.Deadline_ = R.time();
  M.Attempt_ = R.number<std::uint64_t>();
  M.Epoch_ = R.number<std::uint64_t>();
  M.Incarnation_ = static_cast<Incarnation>(R.number<std::uint64_t>());
  M.Reason_ = static_cast<ErrorKind>(R.number(raw(ErrorKind::Count) - 1U));
  M.RetryAt_ = R.time();
  M.OpenFlows_ = R.number<std::uint32_t>();
  M.Route_ = R.bytes(MaxRouteSize);
  M.Caller_ = R.endpoint();
  M.Payload_ = R.bytes(MaxDatagramSize);
  bool PartFits = M.Parts_ == 0 ? M.Part_ == 0 : M.Part_ < M.Parts_;
  return R.ok() && PartFits;
}

void makeTag(const std::uint8_t *Data, std::size_t Size,
             const SecretKey &Secret, std::uint8_t *Tag) {
  crypto_shorthash_siphashx24(Tag, Data, Size, Secret.data());
}

} // namespace

std::size_t encode(const Message &M, std::uint8_t *Buffer, std::size_t Size) {
  Writer W(Buffer, Size);
  writeMessage(W, M);
  return W.ok() ? static_cast<std::size_t>(W.cursor() - Buffer) : 0;
}

ErrorKind decode(const std::uint8_t *Data, std::size_t Size, Message &M) {
  if (Size > MaxDatagramSize + MaxHeaderSize)
    return ErrorKind::Oversized;
  Reader R(Data, Size);
  return readMessage(R, M) && R.done() ? ErrorKind::None : ErrorKind::Malformed;
}

std::size_t encodePeer(const PeerDatagram &D, const SecretKey &Secret,
                       std::uint8_t *Buffer, std::size_t Size) {
  if (Size <= TagSize)
    return 0;
  Writer W(Buffer + TagSize, Size - TagSize);
  W.array(2);
  W.number(raw(D.Kind_));
  writeMessage(W, D.Inner_);
  if (!W.ok())
    return 0;
  auto Length = static_cast<std::size_t>(W.cursor() - Buffer);
  makeTag(Buffer + TagSize, Length - TagSize, Secret, Buffer);
  return Length;
}

ErrorKind decodePeer(const std::uint8_t *Data, std::size_t Size,
                     const std::array<SecretKey, 2> &Keys, PeerDatagram &D) {
  if (Size > MaxDatagramSize + 2 * MaxHeaderSize)
    return ErrorKind::Oversized;
  if (Size <= TagSize)
    return ErrorKind::Malformed;
  bool TagMatches = false;
  for (const SecretKey &Secret : Keys) {
    std::uint8_t Tag[TagSize];
    makeTag(Data + TagSize, Size - TagSize, Secret, Tag);
    TagMatches = TagMatches || sodium_memcmp(Tag, Data, TagSize) == 0;
  }
  if (!TagMatches)
    return ErrorKind::BadTag;
  Reader R(Data + TagSize, Size - TagSize);
  R.array(2);
  auto KindNumber = R.number(raw(PeerMessageKind::Last));
  if (!R.ok() || KindNumber == 0)
    return ErrorKind::Malformed;
  D.Kind_ = static_cast<PeerMessageKind>(KindNumber);
  return readMessage(R, D.Inner_) && R.done() ? ErrorKind::None
                                              : ErrorKind::Malformed;
}

} // namespace thymewall
