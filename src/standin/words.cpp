#include "standin/words.hpp"

#include <array>
#include <charconv>

#include "protocol/thrift.hpp"

namespace paddletrack::standin {
namespace {

using protocol::Unreadable;

// Thrift's types, as far as answers use them.
constexpr std::uint8_t kStop = 0, kBool = 2, kI32 = 8, kString = 11, kStruct = 12, kMap = 13;

class Reader {
 public:
  explicit Reader(std::string_view from) : left_(from) {}
  std::uint64_t number(std::size_t size) {
    std::uint64_t value = 0;
    for (const char each : take(size)) value = value << 8 | static_cast<unsigned char>(each);
    return value;
  }
  std::string_view text() { return take(number(4)); }
  std::uint8_t field(std::uint16_t& id) {
    const auto type = static_cast<std::uint8_t>(number(1));
    if (type != kStop) id = static_cast<std::uint16_t>(number(2));
    return type;
  }
  Fields map() {
    Fields read;
    const std::uint64_t types = number(2);
    std::uint64_t count = number(4);
    if (count > 0 && types != (kString << 8 | kString)) throw Unreadable("a map of texts is expected");
    for (; count > 0; --count) {
      std::string name(text());
      read.emplace_back(std::move(name), std::string(text()));
    }
    return read;
  }

 private:
  std::string_view take(std::size_t count) {
    if (count > left_.size()) throw Unreadable("the answer ends early");
    const std::string_view taken = left_.substr(0, count);
    left_.remove_prefix(count);
    return taken;
  }
  std::string_view left_;
};

void readAnswer(Reader& in, Heard& heard) {
  std::uint16_t id = 0;
  bool good = false;
  while (const std::uint8_t type = in.field(id)) {
    if (id == 1 && type == kString) {
      heard.body = std::string(in.text());
    } else if (id == 2 && type == kMap) {
      in.map();
    } else if (id == 3 && type == kBool) {
      good = in.number(1) != 0;
    } else {
      throw Unreadable("an Answer's field " + std::to_string(id));
    }
  }
  heard.what = good ? Heard::What::done : Heard::What::bad;
}

void readRefusal(Reader& in, Heard& heard) {
  std::uint16_t id = 0;
  while (const std::uint8_t type = in.field(id)) {
    if (id != 1 || type != kMap) throw Unreadable("a refusal's field " + std::to_string(id));
    for (const auto& [name, value] : in.map()) {
      std::int64_t wait = 0;
      if (name != "cooldown") continue;
      const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), wait);
      if (error != std::errc{} || end != value.data() + value.size()) throw Unreadable("cooldown: " + value);
      heard.comeBackMs = wait;
    }
  }
}

}  // namespace

std::string bytes(std::uint64_t value, int size) {
  std::string out;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
  return out;
}

std::string text(const std::string& value) { return bytes(value.size(), 4) + value; }

std::string frame(int kind, const std::string& method, int sequence, const std::string& arguments) {
  return text(bytes(0x80010000U | static_cast<unsigned>(kind), 4) + text(method) +
              bytes(static_cast<unsigned>(sequence), 4) + arguments);
}

std::string submit(int sequence, const Fields& fields, const std::string& statement) {
  std::string all;
  for (const auto& [name, value] : fields) all += text(name) + text(value);
  return frame(1, "submit", sequence,
               bytes(kMap, 1) + bytes(1, 2) + bytes(kString, 1) + bytes(kString, 1) +
                   bytes(fields.size(), 4) + all + bytes(kString, 1) + bytes(2, 2) + text(statement) +
                   bytes(kStop, 1));
}

std::string revoke(int sequence) {
  return frame(4, "revoke", 99,
               bytes(kI32, 1) + bytes(1, 2) + bytes(static_cast<unsigned>(sequence), 4) + bytes(kStop, 1));
}

std::string heartbeat(int sequence) { return frame(1, "heartbeat", sequence, bytes(kStop, 1)); }

Heard read(std::string_view bytesRead) {
  const protocol::thrift::Message message = protocol::thrift::readMessage(bytesRead);
  Heard heard;
  heard.sequence = message.sequence;
  Reader in(message.arguments);
  std::uint16_t id = 0;
  const std::uint8_t type = in.field(id);
  if (message.kind == protocol::thrift::Kind::exception) {
    if (type == kString) heard.body = std::string(in.text());
    return heard;
  }
  if (type != kStruct || id > 2) throw Unreadable("an answer without a result");
  if (id == 0) {
    readAnswer(in, heard);
    if (message.method == "heartbeat" && heard.what == Heard::What::done) heard.what = Heard::What::good;
  } else {
    heard.what = id == 1 ? Heard::What::throttled : Heard::What::cancelled;
    readRefusal(in, heard);
  }
  return heard;
}

const char* nameOf(Heard::What what) {
  static constexpr std::array<const char*, 6> kNames{"done",      "throttled", "cancelled",
                                                     "exception", "good",      "bad"};
  return kNames[static_cast<std::size_t>(what)];
}

}  // namespace paddletrack::standin
