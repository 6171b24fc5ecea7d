//===- PeerLink.cpp - Observations between daemons, by datagrams ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One UDP socket; a thread receives, anyone sends.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Log.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

namespace canvaswick {

/// Longest datagram: one that crosses any link in one piece.
static constexpr size_t MaxDatagramBytes = 1400;

/// Observations or estimates in one datagram; at under 25 bytes each they fit.
static constexpr size_t MaxListed = 40;
static constexpr size_t MaxRates = 10;

/// Messages that are remembered, to leave out what comes twice.
static constexpr size_t RecentKept = 512;

/// How often the receiving thread looks whether it should end.
static constexpr int ReceiveMillis = 500;

std::string encodePeerMessage(const PeerMessage &Message) {
  Json::Value Value;
  Value["from"] = Message.Source;
  Value["hall"] = Message.Hall;
  if (Message.IsRelayed)
    Value["relayed"] = true;
  if (Message.IsWatching)
    Value["watching"] = true;
  Value["as-of"] = static_cast<Json::UInt64>(Message.AsOf);
  Value["seq"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["seen"] = Json::arrayValue;
  for (const Observation &Each : Message.Seen) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(fmt::format("{:x}", Each.Server));
    Pair.append(static_cast<int>(Each.Outcome));
    if (Each.Load >= 0)
      Pair.append(Each.Load);
    Value["seen"].append(Pair);
  }
  for (const Estimate &Each : Message.Estimates) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(fmt::format("{:x}", Each.Server));
    Pair.append(Each.PerMille);
    Value["thinks"].append(Pair);
  }
  for (const HallRate &Each : Message.Rates) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Service));
    Row.append(Each.All);
    Row.append(Each.Bad);
    Value["rates"].append(Row);
  }
  return writeJson(Value);
}

static bool decodeServerId(const Json::Value &Value, ServerId &Id) {
  if (!Value.isString())
    return false;
  const std::string Text = Value.asString();
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data(), End, Id, 16);
  return Code == std::errc() && Rest == End;
}

static bool decodeRate(const Json::Value &Row, HallRate &Rate) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt() || !Row[2].isInt())
    return false;
  Rate.All = Row[1].asInt();
  Rate.Bad = Row[2].asInt();
  return Rate.Bad >= 0 && Rate.All >= Rate.Bad &&
         decodeServerId(Row[0], Rate.Service);
}

static bool decodeEstimate(const Json::Value &Pair, Estimate &Given) {
  if (!Pair.isArray() || Pair.size() != 2 || !Pair[1].isInt())
    return false;
  Given.PerMille = Pair[1].asInt();
  return Given.PerMille >= 0 && Given.PerMille <= 1000 &&
         decodeServerId(Pair[0], Given.Server);
}

static bool decodeObservation(const Json::Value &Pair, Observation &Seen) {
  if (!Pair.isArray() || Pair.size() < 2 || Pair.size() > 3 || !Pair[1].isInt())
    return false;
  if (Pair.size() == 3 && (!Pair[2].isInt() || Pair[2].asInt() < 0))
    return false;
  Seen.Load = Pair.size() == 3 ? Pair[2].asInt() : -1;
  const int Outcome = Pair[1].asInt();
  if (!decodeServerId(Pair[0], Seen.Server) || Outcome < 0 ||
      Outcome > static_cast<int>(RequestOutcome::Overdue))
    return false;
  Seen.Outcome = static_cast<RequestOutcome>(Outcome);
  return true;
}

Result<PeerMessage> decodePeerMessage(const std::string &Text) {
  Json::Value Value;
  if (!parseJson(Text, Value) || !Value.isObject() ||
      !Value["from"].isString() || !Value["hall"].isString() ||
      !Value["seq"].isUInt64() || !Value["seen"].isArray())
    return makeError(ErrorKind::InvalidArgument, "not a message of a peer");
  PeerMessage Message;
  Message.Source = Value["from"].asString();
  Message.Hall = Value["hall"].asString();
  Message.Sequence = Value["seq"].asUInt64();
  if (!Value["as-of"].isUInt64())
    return makeError(ErrorKind::InvalidArgument, "no revision");
  Message.AsOf = Value["as-of"].asUInt64();
  Message.IsWatching = Value["watching"].isBool() && Value["watching"].asBool();
  Message.IsRelayed = Value["relayed"].isBool() && Value["relayed"].asBool();
  for (const Json::Value &Pair : Value["seen"]) {
    Observation Seen;
    if (!decodeObservation(Pair, Seen))
      return makeError(ErrorKind::InvalidArgument, "not an observation");
    Message.Seen.push_back(Seen);
  }
  const Json::Value &Rates = Value["rates"];
  if (!Rates.isNull() && !Rates.isArray())
    return makeError(ErrorKind::InvalidArgument, "not rates");
  for (const Json::Value &Row : Rates) {
    HallRate Rate;
    if (!decodeRate(Row, Rate))
      return makeError(ErrorKind::InvalidArgument, "not a rate");
    Message.Rates.push_back(Rate);
  }
  const Json::Value &Estimates = Value["thinks"];
  if (!Estimates.isNull() && !Estimates.isArray())
    return makeError(ErrorKind::InvalidArgument, "not estimates");
  for (const Json::Value &Pair : Estimates) {
    Estimate Given;
    if (!decodeEstimate(Pair, Given))
      return makeError(ErrorKind::InvalidArgument, "not an estimate");
    Message.Estimates.push_back(Given);
  }
  return Message;
}

PeerLink::PeerLink(DaemonRecord Self, uint64_t FirstSequence,
                   CounterTable &Counters, Handler Handle)
    : Self(std::move(Self)), Counters(Counters), Handle(std::move(Handle)),
      NextSequence(FirstSequence), Random(std::random_device()()) {}

PeerLink::~PeerLink() { this->stop(); }

static bool makeSocketAddress(const Endpoint &Address, sockaddr_in &Result) {
  Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  return ::inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr) == 1;
}

Result<void> PeerLink::start() {
  sockaddr_in Address;
  if (!makeSocketAddress(this->Self.Peer, Address))
    return makeError(ErrorKind::InvalidArgument,
                     "not an address: " + this->Self.Peer.format());
  this->Descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->Descriptor < 0 ||
      ::bind(this->Descriptor, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0)
    return makeError(ErrorKind::Io,
                     "cannot bind to udp " + this->Self.Peer.format());
  this->Thread = std::thread([this] { this->runThread(); });
  return outcome::success();
}

void PeerLink::stop() {
  this->Stopping = true;
  if (this->Thread.joinable())
    this->Thread.join();
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
  this->Descriptor = -1;
}

void PeerLink::setPeers(std::vector<DaemonRecord> Peers) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Near.clear();
  this->Far.clear();
  for (DaemonRecord &Peer : Peers) {
    if (Peer.Name == this->Self.Name)
      continue;
    if (Peer.Hall == this->Self.Hall)
      this->Near.push_back(std::move(Peer));
    else
      this->Far[Peer.Hall].push_back(std::move(Peer));
  }
}

void PeerLink::sendTo(const Endpoint &Peer, const std::string &Text) {
  sockaddr_in Address;
  if (!makeSocketAddress(Peer, Address))
    return;
  // A datagram that cannot be sent now is worth nothing later.
  const ssize_t Sent =
      ::sendto(this->Descriptor, Text.data(), Text.size(), 0,
               reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  this->Counters.add(Sent < 0 ? Counter::PeerSendFailures
                              : Counter::PeerDatagramsSent);
  if (Sent > 0)
    this->Counters.add(Counter::ControlBytesSent, static_cast<uint64_t>(Sent));
}

void PeerLink::sendWithinHall(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const DaemonRecord &Peer : this->Near)
    this->sendTo(Peer.Peer, Text);
}

void PeerLink::sendToOtherHalls(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Hall, Peers] : this->Far)
    this->sendTo(Peers[this->Random() % Peers.size()].Peer, Text);
}

PeerMessage PeerLink::makeMessage() {
  PeerMessage Message;
  Message.Source = this->Self.Name;
  Message.Hall = this->Self.Hall;
  Message.Sequence = this->NextSequence++;
  Message.AsOf = this->AsOf;
  Message.IsWatching = this->IsWatching;
  return Message;
}

/// Takes at most Count elements off the end of All.
template <typename T>
static std::vector<T> takeSome(std::vector<T> &All, size_t Count) {
  const size_t Taken = std::min(All.size(), Count);
  const auto First = All.end() - static_cast<ptrdiff_t>(Taken);
  std::vector<T> Some(First, All.end());
  All.erase(First, All.end());
  return Some;
}

void PeerLink::sendObservations(std::vector<Observation> Seen) {
  while (!Seen.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Seen = takeSome(Seen, MaxListed);
    this->sendWithinHall(encodePeerMessage(Message));
  }
}

void PeerLink::sendEstimates(std::vector<Estimate> Estimates,
                             std::vector<HallRate> Rates) {
  while (!Estimates.empty() || !Rates.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Rates = takeSome(Rates, MaxRates);
    Message.Estimates = takeSome(Estimates, MaxListed);
    this->sendToOtherHalls(encodePeerMessage(Message));
  }
}

void PeerLink::sendWatcherNews() {
  this->sendWithinHall(encodePeerMessage(this->makeMessage()));
}

void PeerLink::setStoreState(uint64_t Reached, bool Watching) {
  this->AsOf = Reached;
  this->IsWatching = Watching;
}

size_t PeerLink::countNear() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Near.size() + 1;
}

bool PeerLink::isNew(const PeerMessage &Message) {
  const std::pair<std::string, uint64_t> Mark(Message.Source, Message.Sequence);
  if (!this->Recent.insert(Mark).second)
    return false;
  this->RecentOrder.push_back(Mark);
  if (this->RecentOrder.size() > RecentKept) {
    this->Recent.erase(this->RecentOrder.front());
    this->RecentOrder.pop_front();
  }
  return true;
}

void PeerLink::receive(const std::string &Text) {
  Result<PeerMessage> Message = decodePeerMessage(Text);
  if (!Message) {
    this->Counters.add(Counter::PeerDatagramsRefused);
    logWarning("peer-message-refused", "what={:?} bytes={}",
               Message.error().Message, Text.size());
    return;
  }
  PeerMessage &Taken = Message.value();
  if (Taken.Source == this->Self.Name || !this->isNew(Taken))
    return;
  this->Counters.add(Counter::PeerDatagramsTaken);
  if (Taken.Hall != this->Self.Hall && !Taken.IsRelayed) {
    Taken.IsRelayed = true;
    this->sendWithinHall(encodePeerMessage(Taken));
  }
  this->Handle(Taken);
}

void PeerLink::runThread() {
  std::string Buffer;
  while (!this->Stopping) {
    pollfd Poll{this->Descriptor, POLLIN, 0};
    if (::poll(&Poll, 1, ReceiveMillis) <= 0)
      continue;
    Buffer.resize(MaxDatagramBytes * 2);
    const ssize_t Count =
        ::recv(this->Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      continue;
    Buffer.resize(static_cast<size_t>(Count));
    this->receive(Buffer);
  }
}

} // namespace canvaswick
