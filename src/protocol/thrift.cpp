#include "protocol/thrift.hpp"

#include <charconv>
#include <utility>

#include "base/big_endian.hpp"

namespace paddletrack::protocol::thrift {
namespace {

constexpr std::uint32_t kStrict = 0x80010000;
constexpr int kDeepest = 16;
enum Type : std::uint8_t {
  kStop = 0,
  kBool = 2,
  kByte = 3,
  kDouble = 4,
  kI16 = 6,
  kI32 = 8,
  kI64 = 10,
  kString = 11,
  kStruct = 12,
  kMap = 13,
  kSet = 14,
  kList = 15,
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(take(1)[0]); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::string_view text() { return take(u32()); }
  std::string_view rest() const { return bytes_; }

  void skip(std::uint8_t type, int depth = 0) {
    if (depth > kDeepest) throw Unreadable("nested too deep");
    switch (type) {
      case kBool:
      case kByte:
        take(1);
        return;
      case kI16:
        take(2);
        return;
      case kI32:
        take(4);
        return;
      case kDouble:
      case kI64:
        take(8);
        return;
      case kString:
        text();
        return;
      case kStruct:
        while (const std::uint8_t field = u8()) {
          u16();
          skip(field, depth + 1);
        }
        return;
      case kMap: {
        const std::uint8_t key = u8(), value = u8();
        for (std::uint32_t left = counted(); left > 0; --left) skip(key, depth + 1), skip(value, depth + 1);
        return;
      }
      case kSet:
      case kList: {
        const std::uint8_t element = u8();
        for (std::uint32_t left = counted(); left > 0; --left) skip(element, depth + 1);
        return;
      }
      default:
        throw Unreadable("type " + std::to_string(type) + " is unknown");
    }
  }
  // Every element takes a byte at least: a false count must not keep us busy.
  std::uint32_t counted() {
    const std::uint32_t count = u32();
    if (count > bytes_.size()) throw Unreadable("more elements than bytes");
    return count;
  }

 private:
  std::string_view take(std::size_t count) {
    if (count > bytes_.size()) throw Unreadable("the frame ends early");
    const std::string_view taken = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return taken;
  }
  std::uint64_t number(std::size_t size) { return bigEndian(take(size)); }

  std::string_view bytes_;
};

using paddletrack::put;
void put(std::string& out, std::string_view text) {
  put(out, text.size(), 4);
  out += text;
}
void field(std::string& out, Type type, std::uint16_t id) {
  put(out, type, 1);
  put(out, id, 2);
}

std::string emptyMap() {
  std::string out;
  put(out, kString, 1);
  put(out, kString, 1);
  put(out, 0, 4);
  return out;
}

// Each pair of a map of texts.
template <typename Each>
void eachField(Reader& in, Each each) {
  const std::uint8_t key = in.u8(), value = in.u8();
  const std::uint32_t count = in.counted();
  if (count > 0 && (key != kString || value != kString)) throw Unreadable("fields: text is wanted");
  for (std::uint32_t left = count; left > 0; --left) {
    const std::string_view name = in.text();
    each(name, in.text());
  }
}

const std::string& tailOf(bool good) {
  static const auto made = [](bool value) {
    std::string out;
    field(out, kMap, 2);
    out += emptyMap();
    field(out, kBool, 3);
    put(out, value ? 1 : 0, 1);
    put(out, kStop, 1);  // of the Answer
    put(out, kStop, 1);  // of the result
    return out;
  };
  static const std::string yes = made(true), no = made(false);
  return good ? yes : no;
}

std::string answerBegin(std::size_t body) {
  std::string out;
  field(out, kStruct, 0);
  field(out, kString, 1);
  put(out, body, 4);
  return out;
}

// A declared exception of submit, with one field at most.
std::string refusal(std::int32_t sequence, std::uint16_t id, std::string_view name, std::string_view value) {
  std::string out;
  field(out, kStruct, id);
  field(out, kMap, 1);
  if (name.empty()) {
    out += emptyMap();
  } else {
    put(out, kString, 1);
    put(out, kString, 1);
    put(out, 1, 4);
    put(out, name);
    put(out, value);
  }
  put(out, kStop, 1);
  put(out, kStop, 1);
  return message("submit", Kind::reply, sequence, out);
}

}  // namespace

std::optional<std::size_t> frameLength(std::string_view input) {
  if (input.size() < kFrameHead) return std::nullopt;
  return Reader(input).u32();
}

Message readMessage(std::string_view frame) {
  Reader in(frame);
  const std::uint32_t head = in.u32();
  if ((head & 0xffffff00U) != kStrict) throw Unreadable("not the strict binary protocol");
  const std::uint32_t kind = head & 0xff;
  if (kind < 1 || kind > 4) throw Unreadable("message type " + std::to_string(kind) + " is unknown");
  Message read;
  read.kind = static_cast<Kind>(kind);
  read.method = in.text();
  read.sequence = static_cast<std::int32_t>(in.u32());
  read.arguments = in.rest();
  return read;
}

Submit readSubmit(std::string_view arguments) {
  Reader in(arguments);
  Submit read;
  bool body = false;
  while (const std::uint8_t type = in.u8()) {
    const std::uint16_t id = in.u16();
    if (id == 1 && type == kMap) {
      eachField(in, [&](std::string_view name, std::string_view said) {
        for (const auto& [known, kept] : {std::pair("service", &read.type),
                                          {"ref", &read.reference},
                                          {"allow", &read.allow},
                                          {"project", &read.customer},
                                          {"effort", &read.effort},
                                          {"ram", &read.memory},
                                          {"replay", &read.idempotencyKey}}) {
          if (name != known) continue;
          if (said.empty() || !kept->empty()) throw Unreadable("fields: each has one value");
          *kept = said;
        }
      });
    } else if (id == 2 && type == kString && !body) {
      read.statement = in.text();
      body = true;
    } else if (id == 1 || id == 2) {
      throw Unreadable("argument " + std::to_string(id) + " has the wrong type");
    } else {
      in.skip(type);
    }
  }
  if (read.statement.empty()) throw Unreadable("body: a statement is wanted");
  if (!in.rest().empty()) throw Unreadable("more bytes than the message");
  return read;
}

std::int32_t readRevoke(std::string_view arguments) {
  Reader in(arguments);
  std::optional<std::int32_t> read;
  while (const std::uint8_t type = in.u8()) {
    if (in.u16() == 1 && type == kI32) {
      read = static_cast<std::int32_t>(in.u32());
    } else {
      in.skip(type);
    }
  }
  if (!read) throw Unreadable("seqid is missing");
  return *read;
}

std::string message(std::string_view method, Kind kind, std::int32_t sequence, std::string_view body,
                    std::size_t outside) {
  std::string out;
  const std::size_t length = 4 + 4 + method.size() + 4 + body.size();
  out.reserve(kFrameHead + length);
  put(out, length + outside, 4);
  put(out, kStrict | static_cast<std::uint32_t>(kind), 4);
  put(out, method);
  put(out, static_cast<std::uint32_t>(sequence), 4);
  return out += body;
}

std::string submit(std::int32_t sequence, const Fields& fields, std::string_view statement) {
  std::string out;
  field(out, kMap, 1);
  put(out, kString, 1);
  put(out, kString, 1);
  put(out, fields.size(), 4);
  for (const auto& [name, value] : fields)
    put(out, std::string_view(name)), put(out, std::string_view(value));
  field(out, kString, 2);
  put(out, statement);
  put(out, kStop, 1);
  return message("submit", Kind::call, sequence, out);
}

std::string revoke(std::int32_t open) {
  std::string out;
  field(out, kI32, 1);
  put(out, static_cast<std::uint32_t>(open), 4);
  put(out, kStop, 1);
  return message("revoke", Kind::oneway, 0, out);
}

std::string heartbeatCall(std::int32_t sequence) {
  return message("heartbeat", Kind::call, sequence, std::string(1, kStop));
}

Reply readReply(std::string_view frame) {
  const Message message = readMessage(frame);
  Reply reply;
  reply.sequence = message.sequence;
  Reader in(message.arguments);
  const std::uint8_t outer = in.u8();
  const std::uint16_t result = outer == kStop ? 0 : in.u16();
  if (message.kind == Kind::exception) {
    if (outer == kString) reply.body = std::string(in.text());
    return reply;
  }
  if (outer != kStruct || result > 2) throw Unreadable("an answer without a result");
  bool good = false;
  while (const std::uint8_t type = in.u8()) {
    const std::uint16_t id = in.u16();
    if (result == 0 && id == 1 && type == kString) {
      reply.body = std::string(in.text());
    } else if (result == 0 && id == 3 && type == kBool) {
      good = in.u8() != 0;
    } else if (result > 0 && id == 1 && type == kMap) {
      eachField(in, [&](std::string_view name, std::string_view value) {
        std::int64_t wait = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), wait);
        if (name != "cooldown") return;
        if (error != std::errc{} || end != value.data() + value.size())
          throw Unreadable("cooldown: '" + std::string(value.substr(0, 20)) + "' can't be used");
        reply.comeBackMs = wait;
      });
    } else {
      in.skip(type);
    }
  }
  const bool beat = message.method == "heartbeat";
  reply.what = result == 1   ? Reply::What::throttled
               : result == 2 ? Reply::What::cancelled
               : !good       ? Reply::What::bad
               : beat        ? Reply::What::good
                             : Reply::What::done;
  return reply;
}

std::string answerHead(std::int32_t sequence, std::size_t body) {
  return message("submit", Kind::reply, sequence, answerBegin(body), body + tailOf(true).size());
}

std::string_view answerTail() { return tailOf(true); }

std::string shed(std::int32_t sequence, std::optional<std::int64_t> comeBackMs) {
  return refusal(sequence, 1, comeBackMs ? "cooldown" : "", comeBackMs ? std::to_string(*comeBackMs) : "");
}

std::string fault(std::int32_t sequence) { return refusal(sequence, 2, "", ""); }

std::string heartbeat(std::int32_t sequence, bool good) {
  return message("heartbeat", Kind::reply, sequence, answerBegin(0) + tailOf(good));
}

std::string exception(std::string_view method, std::int32_t sequence, Fault code, std::string_view text) {
  std::string out;
  field(out, kString, 1);
  put(out, text);
  field(out, kI32, 2);
  put(out, static_cast<std::uint32_t>(code), 4);
  put(out, kStop, 1);
  return message(method, Kind::exception, sequence, out);
}

}  // namespace paddletrack::protocol::thrift
