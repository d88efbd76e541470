#include "simwire/server.hpp"

#include <exception>
#include <string>

namespace paddletrack::simwire {
namespace {

constexpr std::size_t kHeaderSize = 20;
constexpr std::size_t kCountedFromLength = 12;  // the length counts the clock and the number of records too
constexpr std::size_t kEntrySize = 22;

// False at the end of input before the first byte.
bool fill(std::istream& in, std::string& bytes, std::size_t size, const char* what) {
  constexpr std::size_t kStep = 1 << 20;  // a false length must not claim all memory at once
  bytes.clear();
  while (bytes.size() < size) {
    const std::size_t had = bytes.size();
    bytes.resize(std::min(size, had + kStep));
    in.read(bytes.data() + had, static_cast<std::streamsize>(bytes.size() - had));
    const auto got = static_cast<std::size_t>(in.gcount());
    if (had + got == bytes.size()) continue;
    if (had + got == 0) return false;
    throw Malformed(std::string(what) + ": input ends after " + std::to_string(had + got) + " of " +
                    std::to_string(size) + " bytes");
  }
  return true;
}

}  // namespace

void Server::serve(std::istream& in, std::ostream& out) {
  std::string bytes;
  while (fill(in, bytes, kHeaderSize, "batch header")) {
    Reader header(bytes, "batch header");
    const std::uint32_t batch = header.u32(), length = header.u32();
    const std::uint64_t clock = header.u64();
    const std::uint32_t count = header.u32();
    const std::string where = "batch " + std::to_string(batch);
    if (length < kCountedFromLength)
      throw Malformed(where + ": length " + std::to_string(length) + " is too short");
    const std::size_t size = length - kCountedFromLength;
    if (size > 0 && !fill(in, bytes, size, where.c_str()))
      throw Malformed(where + ": input ends after its header");
    Reader records(size > 0 ? std::string_view(bytes) : std::string_view(), where);
    for (std::uint32_t each = 0; each < count; ++each) {
      const std::string which = where + ", record " + std::to_string(each);
      try {
        const std::uint8_t code = records.u8();
        Reader fields(records.bytes(records.u32()), "code " + std::to_string(code));
        event(clock, code, fields);
      } catch (const Malformed& error) {
        throw Malformed(which + ": " + error.what());
      } catch (const protocol::Unreadable& error) {
        throw Malformed(which + ": " + error.what());
      } catch (const std::exception& error) {
        writer_.record(10, 0).text(which + ": " +
                                   error.what());  // the module broke: the wire's fault message
        break;
      }
    }
    if (records.left() > 0 && count > 0) records.end();
    const std::string reply = writer_.reply(batch);
    out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
    out.flush();
  }
}

void Server::event(std::uint64_t clock, std::uint8_t code, Reader& fields) {
  if (code == 8) return readList(fields);
  if (code > 11) throw Malformed("event code " + std::to_string(code) + " is unknown");
  const std::uint32_t who = fields.u32();
  switch (code) {
    case 0:
      return door(who).mail(clock, fields);
    case 1:
      return door(who).checkResult(clock, fields);
    case 2:
      return door(who).change(clock, fields);
    case 3: {
      const std::uint64_t seed = fields.u64();
      const std::string_view settings = fields.bytes(fields.u32());
      fields.end();
      doors_.erase(who);
      doors_.emplace(who, std::make_unique<Door>(who, clock, seed, settings, writer_));
      return;
    }
    case 4:
      return door(who).tickDue(clock, fields);
    case 5:
      return door(who).underWay(clock, fields);
    case 6:
      return door(who).resolved(clock, fields);
    case 7: {
      const std::uint8_t how = fields.u8();
      fields.u32();
      const std::uint32_t page = fields.u32();
      fields.end();
      if (how > 3) throw Malformed("update: kind " + std::to_string(how) + " is unknown");
      if (how == 3) return door(who).update(clock, how, nullptr);
      if (page >= lists_.size() || !lists_[page]) {
        throw Malformed("update: list " + std::to_string(page) + " was not registered");
      }
      return door(who).update(clock, how, &*lists_[page]);
    }
    case 9:
      return door(who).timedOutClient(clock, fields);
    case 10:
      door(who);
      fields.end();
      doors_.erase(who);
      return;
    default:
      return door(who).inbound(clock, fields);
  }
}

void Server::readList(Reader& fields) {
  const std::uint32_t page = fields.u32(), count = fields.u32();
  if (page >= lists_.size()) throw Malformed("register: number " + std::to_string(page) + " is over 15");
  if (fields.left() != count * kEntrySize) {
    throw Malformed("register: " + std::to_string(count) + " entries do not fit " +
                    std::to_string(fields.left()) + " bytes");
  }
  std::vector<Entry> entries(count);
  for (Entry& entry : entries) {
    entry.listing.location = fields.u8();
    entry.launched = fields.u64();
    entry.executor = fields.u32();
    entry.listing.kind = fields.u16();
    const std::uint8_t standing = fields.u8();
    if (standing > 2) throw Malformed("register: status " + std::to_string(standing) + " is unknown");
    entry.listing.standing = static_cast<Standing>(standing);
    entry.listing.cell = fields.u16();
    fields.f32();
  }
  lists_[page] = std::move(entries);
}

Door& Server::door(std::uint32_t instance) {
  const auto at = doors_.find(instance);
  if (at == doors_.end()) throw Malformed("controller " + std::to_string(instance) + " does not run");
  return *at->second;
}

}  // namespace paddletrack::simwire
