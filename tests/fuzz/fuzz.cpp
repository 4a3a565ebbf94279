/**
 * \file
 * Feeds random and mutated bytes to everything that reads bytes from outside:
 * the HTTP parsers, frames and datagrams of other nodes, the platform's
 * answers, and settings.
 *
 *     fuzz --seed N --inputs COUNT
 *
 * The same seed gives the same inputs. A crash, a hang or a broken promise of
 * a reader ends the program with the input; under the address sanitizer also
 * any bad access does.
 */

#include "kernel/compression.h"
#include "kernel/framereader.h"
#include "kernel/httpparser.h"
#include "kernel/nodesettings.h"
#include "platform/configdocument.h"
#include "platform/storeclient.h"
#include "platform/targetentry.h"
#include "plugins/peer/peercodec.h"
#include "plugins/spread/controlcodec.h"
#include "tree/branch.h"
#include "tree/vmlist.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the inputs");
DEFINE_uint64(inputs, 200000, "number of inputs");

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr size_t MaxRandomBytes = 600;
constexpr size_t MaxMutations = 6;
constexpr size_t MaxDecompressed = size_t{1} * 1024 * 1024;

using Engine = std::mt19937_64;

size_t draw(Engine &Random, size_t Below) {
  return std::uniform_int_distribution<size_t>(0, Below - 1)(Random);
}

/** Ends the program unless \a Holds. */
void require(bool Holds, const char *What, const std::string &Input) {
  if (Holds)
    return;
  std::fprintf(stderr, "broken: %s\ninput:", What);
  for (const char Each : Input)
    std::fprintf(stderr, " %02x", static_cast<unsigned char>(Each));
  std::fprintf(stderr, "\n");
  std::abort();
}

/** What a parser made of some bytes. */
struct Parsed {
  std::vector<std::string> Messages;
  HttpParseError Fault = HttpParseError::None;

  bool operator==(const Parsed &) const = default;
};

std::string textOf(const HttpHeaders &Headers) {
  std::string Text;
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\n");
  return Text;
}

Parsed parse(HttpParser::Kind Kind, const std::string &Input,
             const std::vector<size_t> &Cuts) {
  constexpr HttpLimits Limits = {.MaxHeaderBytes = 400, .MaxBodyBytes = 300};
  HttpParser Parser(Kind, Limits);
  Parsed Result;
  size_t Begin = 0;
  const auto TakeWhole = [&] {
    while (Parser.error() == HttpParseError::None && Parser.isComplete()) {
      const bool IsRequest = Kind == HttpParser::Kind::Request;
      Result.Messages.push_back(
          IsRequest
              ? Parser.request().Method + " " + Parser.request().RequestTarget +
                    "\n" + textOf(Parser.request().Headers) +
                    Parser.request().Body
              : std::to_string(Parser.response().Status) + "\n" +
                    textOf(Parser.response().Headers) + Parser.response().Body);
      Parser.next();
    }
  };
  for (const size_t End : Cuts) {
    Parser.feed(std::string_view(Input).substr(Begin, End - Begin));
    Begin = End;
    TakeWhole();
  }
  Parser.finish();
  TakeWhole();
  Result.Fault = Parser.error();
  return Result;
}

/** Bytes mean the same however the network cuts them. */
void checkHttp(HttpParser::Kind Kind, const std::string &Input,
               Engine &Random) {
  std::vector<size_t> Cuts;
  for (size_t At = 0; At < Input.size();) {
    At += 1 + draw(Random, 40);
    Cuts.push_back(std::min(At, Input.size()));
  }
  const Parsed AtOnce = parse(Kind, Input, {Input.size()});
  const Parsed InParts = parse(Kind, Input, Cuts);
  require(AtOnce.Messages == InParts.Messages,
          "a message depends on how its bytes were cut", Input);
  const bool BothBad = (AtOnce.Fault == HttpParseError::None) ==
                       (InParts.Fault == HttpParseError::None);
  require(BothBad, "a fault depends on how the bytes were cut", Input);
}

void checkRequest(const std::string &Input, Engine &Random) {
  checkHttp(HttpParser::Kind::Request, Input, Random);
}

void checkResponse(const std::string &Input, Engine &Random) {
  checkHttp(HttpParser::Kind::Response, Input, Random);
}

/** What was read once is read again the same from its own encoding. */
template <typename T>
void checkPeer(const Frame &Value, const std::string &Input) {
  T Message;
  if (!decode(Value.Body, Message))
    return;
  const std::string Again = encode(Message);
  T Copy;
  require(decode(Again, Copy) && encode(Copy) == Again,
          "a message does not survive its own encoding", Input);
}

void checkFrames(const std::string &Input, Engine &) {
  FrameReader Reader(2000);
  Reader.feed(Input);
  size_t Total = 0;
  while (const std::optional<Frame> Value = Reader.next()) {
    Total += Value->Body.size();
    checkPeer<HelloMessage>(*Value, Input);
    checkPeer<RequestMessage>(*Value, Input);
    checkPeer<ReplyMessage>(*Value, Input);
    checkPeer<CancelMessage>(*Value, Input);
    checkPeer<CancelReplyMessage>(*Value, Input);
    checkPeer<PongMessage>(*Value, Input);
    if (const auto Message = fromFrame(*Value))
      require(fromFrame(toFrame(*Message)).has_value(),
              "a control message does not survive its own encoding", Input);
  }
  require(Total <= Input.size(), "frames are longer than their bytes", Input);
}

void checkDatagram(const std::string &Input, Engine &) {
  if (const auto Message = fromDatagram(Input))
    require(fromDatagram(toDatagram(*Message)).has_value(),
            "a datagram does not survive its own encoding", Input);
}

void checkCompression(const std::string &Input, Engine &) {
  const auto Plain = zlibDecompress(Input, MaxDecompressed);
  require(!Plain || Plain->size() <= MaxDecompressed, "longer than the limit",
          Input);
  require(zlibDecompress(zlibCompress(Input), MaxDecompressed) == Input,
          "compression loses bytes", Input);
}

void checkStoreAnswer(const std::string &Input, Engine &) {
  (void)parseStoreResponse(Input);
}

/** A configuration that is taken gives branches that can be parsed. */
void checkConfig(const std::string &Input, Engine &) {
  const Result<StoredConfig> Read = parseConfigDocument(Input, "mesh");
  if (!Read)
    return;
  for (const auto &[Path, Text] : Read.value().Branches)
    (void)parseBranch(Path, Text);
}

void checkTarget(const std::string &Input, Engine &) {
  (void)parseTargetEntry("servers/i-1", Input);
}

void checkIni(const std::string &Input, Engine &) {
  (void)parseBranch("service/shop", Input);
  (void)parsePlatformVmList(Input);
  (void)parseNodeSettings("node.ini", Input);
}

std::string frameOf(PeerFrameKind Kind, const std::string &Body) {
  return encodeFrame({.Kind = static_cast<uint8_t>(Kind), .Body = Body});
}

std::string requestFrame() {
  RequestMessage Message{.Number = RequestNumber(7),
                         .ExpectedTarget = TargetInstanceId("i-1"),
                         .Service = ServiceName("shop"),
                         .Route = RouteName("r")};
  Message.Request = {.Method = "POST",
                     .RequestTarget = "/shop/x?y",
                     .Headers = {{"Host", "shop.example"}},
                     .Body = "body"};
  return frameOf(PeerFrameKind::Request, encode(Message));
}

std::string replyFrame() {
  ReplyMessage Message{.Number = RequestNumber(7), .Reason = "queue is full"};
  Message.Response = {
      .Status = 200, .Headers = {{"X-Odd", "yes"}}, .Body = "the bytes"};
  return frameOf(PeerFrameKind::Reply, encode(Message));
}

std::string controlFrame() {
  TransferMessage Message{.Kind = ResourceKind::VmList};
  return encodeFrame(toFrame(ControlMessage(Message))) +
         encodeFrame(toFrame(ControlMessage(AnnouncementsMessage{
             {MemberAnnouncement{.Name = VmName("10.0.0.1")}}})));
}

const char *const ConfigText =
    R"({"version":"r7","resources":[{"resourceType":"routes","metadata":)"
    R"({"name":"r-a"},"specification":{"hostname":"a.example","prefix":"/a/",)"
    R"("routeKind":"idempotent","timeout":"1.5s","targetLatency":"300ms",)"
    R"("priority":2,"weightedServices":[{"service":"shop","weight":90},)"
    R"({"service":"stock","weight":10}],"maxAttempts":2}},{"resourceType":)"
    R"("services","metadata":{"name":"shop"},"specification":)"
    R"({"healthCheckPath":"/health","maxConnections":130}},{"resourceType":)"
    R"("limits","metadata":{},"specification":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3s","idleTimeout":"15s"}}]})";

const char *const TargetText =
    R"({"address":"10.1.0.3:8080","born":17,"information":{"service":"shop",)"
    R"("version":"v1","zone":"north","slots":9},"status":{"state":"ready",)"
    R"("sequenceNumber":3,"coldRemaining":"100ms"}})";

/** A reader of bytes from outside, with inputs that it takes. */
struct Subject {
  const char *Name;
  void (*Check)(const std::string &, Engine &);
  std::vector<std::string> Seeds;
};

std::vector<Subject> subjects() {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nX-T: t\r\n\r\n";
  return {
      {"request",
       checkRequest,
       {"GET /a%2Fb/;x=1?q=%20a&& HTTP/1.1\r\nHost: a\r\nX-Odd: a,b\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET / "
        "HTTP/1.1\r\nHost: a\r\n\r\n",
        "PUT /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"}},
      {"response",
       checkResponse,
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", Chunked,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\nuntil the end",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"}},
      {"frames",
       checkFrames,
       {requestFrame(), replyFrame(), controlFrame(),
        frameOf(PeerFrameKind::Hello, encode(HelloMessage()))}},
      {"datagram",
       checkDatagram,
       {toDatagram(DigestMessage()),
        toDatagram(DigestMessage{.Sender = {.Name = VmName("10.0.0.1")},
                                 .Announcements = {MemberAnnouncement{
                                     .Name = VmName("10.0.0.2")}}})}},
      {"compression", checkCompression, {zlibCompress(std::string(500, 'x'))}},
      {"store answer",
       checkStoreAnswer,
       {R"({"storeRevision":9,"hasMore":false,"items":[{"key":"op/config",)"
        R"("value":"e30=","revision":3,"createdAt":1,"lease":0}]})",
        R"({"storeRevision":9,"events":[{"key":"servers/a","revision":8,)"
        R"("tombstone":true}]})"}},
      {"configuration", checkConfig, {ConfigText}},
      {"target", checkTarget, {TargetText}},
      {"branch",
       checkIni,
       {"[service]\nabout = x\n[route r]\nmatch = * /a/\nidempotent = yes\n"
        "split = shop 90, stock 10\ntimeout = 1500 ms\n",
        "[node]\nmesh = m\nname = a\naddress = 10.0.0.1\n[spread]\nreaders = "
        "1\n",
        R"({"revision":3,"vms":[{"name":"a","address":"10.0.0.1",)"
        R"("domain":"n","service":"s","state":"live"}]})"}}};
}

/** Pieces that steer parsers, put in at random places. */
const std::array<std::string, 16> Pieces = {"\r\n",
                                            "\n",
                                            "\r\n\r\n",
                                            " ",
                                            ":",
                                            "Content-Length: 5\r\n",
                                            "0\r\n\r\n",
                                            std::string(1, '\0'),
                                            "Transfer-Encoding: chunked\r\n",
                                            "Host: b\r\n",
                                            "\xff\xff\xff\x7f",
                                            "{\"",
                                            "[[[[[[",
                                            "-1",
                                            "18446744073709551616",
                                            "\t"};

void mutate(std::string &Input, const Subject &Of, Engine &Random) {
  const size_t At = Input.empty() ? 0 : draw(Random, Input.size());
  switch (draw(Random, 7)) {
  case 0:
    if (!Input.empty())
      Input[At] = static_cast<char>(draw(Random, 256));
    break;
  case 1:
    Input.insert(At, Pieces[draw(Random, Pieces.size())]);
    break;
  case 2:
    Input.erase(At, 1 + draw(Random, 8));
    break;
  case 3:
    Input.resize(At);
    break;
  case 4:
    Input.insert(At, Input.substr(At / 2, 1 + draw(Random, 30)));
    break;
  case 5:
    Input += Of.Seeds[draw(Random, Of.Seeds.size())];
    break;
  default:
    if (!Input.empty())
      Input[At] = static_cast<char>(Input[At] ^ (1 << draw(Random, 8)));
    break;
  }
}

std::string makeInput(const Subject &Of, Engine &Random) {
  std::string Input;
  if (draw(Random, 10) == 0) {
    Input.resize(draw(Random, MaxRandomBytes));
    for (char &Each : Input)
      Each = static_cast<char>(draw(Random, 256));
    return Input;
  }
  Input = Of.Seeds[draw(Random, Of.Seeds.size())];
  for (size_t Count = draw(Random, MaxMutations); Count > 0; --Count)
    mutate(Input, Of, Random);
  return Input;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  Engine Random(FLAGS_seed);
  const std::vector<Subject> All = subjects();
  for (uint64_t Number = 0; Number < FLAGS_inputs; ++Number) {
    const Subject &Of = All[Number % All.size()];
    Of.Check(makeInput(Of, Random), Random);
  }
  std::printf("%llu inputs, seed %llu: nothing broken\n",
              static_cast<unsigned long long>(FLAGS_inputs),
              static_cast<unsigned long long>(FLAGS_seed));
  return 0;
}
