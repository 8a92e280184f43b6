#include "peer_rpc/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstring>
#include <optional>

#include "peer_rpc/peer_rpc.capnp.h"

namespace basaltchute::peer_rpc {

namespace {

using FrameLength = std::uint32_t;
constexpr std::size_t maxFrame = std::size_t{1024} * 1024;

capnp::Data::Reader bytes(const std::string& s) {
    return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
std::string text(capnp::Data::Reader d) {
    return {reinterpret_cast<const char*>(d.begin()), d.size()};
}
std::string text(capnp::Text::Reader t) {
    return {t.cStr(), t.size()};
}

wire::Request::Purpose toWire(Purpose purpose) {
    switch (purpose) {
        case Purpose::stateService:
            return wire::Request::Purpose::STATE_SERVICE;
        case Purpose::worker:
            return wire::Request::Purpose::WORKER;
        case Purpose::leader:
            break;
    }
    return wire::Request::Purpose::LEADER;
}

/// A purpose that this version does not know counts as the leader's.
Purpose fromWire(wire::Request::Purpose purpose) {
    if (purpose == wire::Request::Purpose::STATE_SERVICE) return Purpose::stateService;
    if (purpose == wire::Request::Purpose::WORKER) return Purpose::worker;
    return Purpose::leader;
}

/// Writes each kind of message into a frame.
struct FrameWriter {
    wire::Frame::Builder frame;

    void operator()(const Hello& hello) {
        auto out = frame.initHello();
        out.setNode(hello.node.c_str());
        out.setLeading(hello.leading);
        out.setToken(hello.token);
        out.setReady(hello.ready);
        out.setHears(hello.knownLeaderToken);
        out.setLoans(hello.supportsDelegations);
        out.setHandsOn(hello.supportsTransfers);
        out.setProcess(hello.incarnation.c_str());
        out.setFormat(static_cast<std::uint16_t>(hello.storedFormat));
    }
    void operator()(const RequestMessage& message) {
        auto out = frame.initRequest();
        out.setId(message.id);
        out.setMethod(message.request.method.c_str());
        out.setTarget(message.request.target.c_str());
        out.setBody(bytes(message.request.body));
        out.setPurpose(toWire(message.purpose));
        if (message.purpose == Purpose::worker) out.setWorker(message.worker.c_str());
    }
    void operator()(const ReplyMessage& message) {
        auto out = frame.initReply();
        out.setId(message.id);
        out.setStatus(static_cast<std::uint16_t>(message.response.status));
        out.setRetryAfterS(static_cast<std::uint32_t>(message.response.retryAfterS));
        out.setBody(bytes(message.response.body));
    }
    void operator()(const PledgeMessage& message) {
        auto out = frame.initPledge();
        out.setId(message.id);
        out.setToken(message.pledge.token);
        out.setHoldMs(static_cast<std::uint32_t>(message.pledge.hold.count()));
    }
    void operator()(const DelegationRequestMessage& message) {
        auto out = frame.initBorrow();
        out.setId(message.id);
        out.setNode(message.request.node.c_str());
        out.setToken(message.request.token);
        out.setNumber(message.request.number);
        out.setSinceUseMs(static_cast<std::uint64_t>(message.request.sinceUse.count()));
    }
    void operator()(const DelegationMessage& message) {
        auto out = frame.initLoan();
        out.setId(message.id);
        out.setToken(message.delegation.token);
        out.setNumber(message.delegation.number);
        out.setSpanMs(static_cast<std::uint32_t>(message.delegation.duration.count()));
    }
};

Hello read(wire::Hello::Reader in) {
    return {text(in.getNode()), in.getLeading(),       in.getToken(),
            in.getReady(),      in.getHears(),         in.getLoans(),
            in.getHandsOn(),    text(in.getProcess()), in.getFormat()};
}
RequestMessage read(wire::Request::Reader in) {
    RequestMessage message;
    message.id = in.getId();
    message.request = {text(in.getMethod()), text(in.getTarget()), text(in.getBody())};
    message.purpose = fromWire(in.getPurpose());
    if (message.purpose == Purpose::worker) message.worker = text(in.getWorker());
    return message;
}
ReplyMessage read(wire::Reply::Reader in) {
    return {in.getId(),
            {in.getStatus(), text(in.getBody()), static_cast<int>(in.getRetryAfterS())}};
}
PledgeMessage read(wire::Pledge::Reader in) {
    return {in.getId(), {in.getToken(), std::chrono::milliseconds(in.getHoldMs())}};
}
DelegationRequestMessage read(wire::Borrow::Reader in) {
    // A use that was longer ago than any lease lasts says no more than that.
    constexpr std::uint64_t longAgoMs = std::uint64_t{24} * 3600 * 1000;
    const auto sinceUseMs = std::min<std::uint64_t>(in.getSinceUseMs(), longAgoMs);
    return {
        in.getId(),
        {text(in.getNode()), in.getToken(), in.getNumber(), std::chrono::milliseconds(sinceUseMs)}};
}
DelegationMessage read(wire::Loan::Reader in) {
    return {in.getId(), {in.getToken(), in.getNumber(), std::chrono::milliseconds(in.getSpanMs())}};
}

/// Empty for a kind of message that this version does not know.
std::optional<Message> read(wire::Frame::Reader frame) {
    switch (frame.which()) {
        case wire::Frame::HELLO:
            return read(frame.getHello());
        case wire::Frame::REQUEST:
            return read(frame.getRequest());
        case wire::Frame::REPLY:
            return read(frame.getReply());
        case wire::Frame::PLEDGE:
            return read(frame.getPledge());
        case wire::Frame::BORROW:
            return read(frame.getBorrow());
        case wire::Frame::LOAN:
            return read(frame.getLoan());
    }
    return std::nullopt;
}

std::string encodeLength(FrameLength length) {
    std::string out(sizeof length, '\0');
    for (std::size_t i = 0; i < sizeof length; ++i)
        out[i] = static_cast<char>((length >> (8 * i)) & 0xff);
    return out;
}

FrameLength decodeLength(const std::string& data) {
    FrameLength length = 0;
    for (std::size_t i = 0; i < sizeof length; ++i)
        length |= static_cast<FrameLength>(static_cast<unsigned char>(data[i])) << (8 * i);
    return length;
}

}  // namespace

std::string encode(const Message& message) {
    capnp::MallocMessageBuilder builder;
    std::visit(FrameWriter{builder.initRoot<wire::Frame>()}, message);
    const auto array = capnp::messageToFlatArray(builder);
    const auto payload = array.asBytes();
    std::string out = encodeLength(static_cast<FrameLength>(payload.size()));
    out.append(reinterpret_cast<const char*>(payload.begin()), payload.size());
    return out;
}

DecodeStatus decode(std::string& data, Message& message) {
    if (data.size() < sizeof(FrameLength)) return DecodeStatus::needMore;
    const FrameLength length = decodeLength(data);
    if (length > maxFrame || length == 0 || length % sizeof(capnp::word) != 0)
        return DecodeStatus::broken;
    if (data.size() < sizeof length + length) return DecodeStatus::needMore;
    auto array = kj::heapArray<capnp::word>(length / sizeof(capnp::word));
    std::memcpy(array.begin(), data.data() + sizeof length, length);
    data.erase(0, sizeof length + length);
    try {
        capnp::FlatArrayMessageReader reader(array);
        auto decoded = read(reader.getRoot<wire::Frame>());
        if (!decoded) return DecodeStatus::broken;
        message = std::move(*decoded);
    } catch (const kj::Exception& e) {
        spdlog::warn("peer frame malformed error={}", e.getDescription().cStr());
        return DecodeStatus::broken;
    }
    return DecodeStatus::message;
}

}  // namespace basaltchute::peer_rpc
