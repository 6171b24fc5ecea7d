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
#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/PauseDetector.h"

#include <algorithm>
#include <iterator>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace canvaswick {

/// Longest datagram: one that crosses any link in one piece.
static constexpr size_t MaxDatagramBytes = 1400;

/// Rows in one datagram; at under 30 bytes each they fit.
static constexpr size_t MaxListed = 40;
static constexpr size_t MaxRates = 10;

/// Levels in one datagram; at under 33 bytes each they fit.
static constexpr size_t MaxLevels = 36;

/// Requests in flight in one datagram, among the MaxListed rows.
static constexpr size_t MaxInFlight = 30;

/// Peers that are asked at once for a repeat, near ones first and then one of
/// another hall too: a hall whose servers fail runs out as a whole. What two
/// give in vain is lost to the fleet for a window.
static constexpr size_t AskedAtOnce = 2;

/// Messages that are remembered, to leave out what comes twice.
static constexpr size_t RecentKept = 512;

/// How often the receiving thread looks whether it should end.
static constexpr int ReceiveMillis = 500;

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
  this->IsStopping = true;
  if (this->Thread.joinable())
    this->Thread.join();
  std::lock_guard<std::mutex> Lock(this->Mutex);
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

/// Sends one datagram, unless the link has been stopped. The caller holds the
/// mutex.
void PeerLink::sendTo(const Endpoint &Peer, const std::string &Text) {
  if (this->Descriptor < 0)
    return;
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

/// Called without the mutex.
PeerMessage PeerLink::makeMessage() {
  PeerMessage Message;
  Message.Source = this->Self.Name;
  Message.Hall = this->Self.Hall;
  Message.Sequence = this->NextSequence++;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Message.AsOf = this->Store.AsOf;
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

void PeerLink::sendObservations(std::vector<Observation> Observations,
                                const std::vector<InFlightReport> &InFlight,
                                std::vector<QuotaUsage> Usages,
                                std::vector<LimitReport> Limits) {
  PeerMessage First = this->makeMessage();
  First.Usages = std::move(Usages);
  First.Limits = std::move(Limits);
  First.InFlight = InFlight;
  // One that has more than this out says little by each of them.
  if (First.InFlight->size() > MaxInFlight)
    First.InFlight->resize(MaxInFlight);
  const size_t Taken =
      First.InFlight->size() + First.Usages.size() + First.Limits.size();
  First.Observations =
      takeSome(Observations, MaxListed - std::min(MaxListed, Taken));
  this->sendWithinHall(encodePeerMessage(First));
  while (!Observations.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Observations = takeSome(Observations, MaxListed);
    this->sendWithinHall(encodePeerMessage(Message));
  }
}

void PeerLink::sendHallUsages(std::vector<QuotaUsage> Usages) {
  do {
    PeerMessage Message = this->makeMessage();
    Message.HallUsages = takeSome(Usages, MaxLevels);
    this->sendToOtherHalls(encodePeerMessage(Message));
  } while (!Usages.empty());
}

void PeerLink::sendEstimates(std::vector<HealthEstimate> Estimates,
                             std::vector<HallFailureRate> Rates,
                             std::vector<LimitReport> Limits) {
  while (!Estimates.empty() || !Rates.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Limits = std::exchange(Limits, {});
    Message.Rates = takeSome(Rates, MaxRates);
    Message.Estimates = takeSome(Estimates, MaxListed - Message.Limits.size());
    this->sendToOtherHalls(encodePeerMessage(Message));
  }
}

void PeerLink::sendLocalEstimates(std::vector<HealthEstimate> Estimates) {
  while (!Estimates.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Estimates = takeSome(Estimates, MaxListed);
    this->sendWithinHall(encodePeerMessage(Message));
  }
}

void PeerLink::sendStoreState(TimePoint Now) {
  PeerMessage Message = this->makeMessage();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Store.IsWatching)
      Message.SinceStoreAnswer =
          std::max(Duration::zero(), Now - this->Store.HeardAt);
  }
  this->sendWithinHall(encodePeerMessage(Message));
}

void PeerLink::sendPoisonReport(const PoisonRequestReport &Report) {
  PeerMessage Message = this->makeMessage();
  Message.PoisonRequests = Report;
  const std::string Text = encodePeerMessage(Message);
  this->sendWithinHall(Text);
  this->sendToOtherHalls(Text);
}

/// Draws whom to ask for a repeat. The caller holds the mutex.
std::vector<DaemonRecord> PeerLink::drawAsked(bool AsksRemoteHall) {
  const size_t FarCount = AsksRemoteHall && !this->Far.empty() ? 1 : 0;
  std::vector<DaemonRecord> Drawn;
  std::sample(this->Near.begin(), this->Near.end(), std::back_inserter(Drawn),
              AskedAtOnce - FarCount, this->Random);
  if (FarCount > 0) {
    const auto Hall =
        std::next(this->Far.begin(),
                  static_cast<ptrdiff_t>(this->Random() % this->Far.size()));
    std::sample(Hall->second.begin(), Hall->second.end(),
                std::back_inserter(Drawn), FarCount, this->Random);
  }
  return Drawn;
}

void PeerLink::sendLoanRequest(const RetryLoan &Loan, bool AsksRemoteHall) {
  PeerMessage Message = this->makeMessage();
  Message.LoanRequests.push_back(Loan);
  const std::string Text = encodePeerMessage(Message);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const DaemonRecord &Peer : this->drawAsked(AsksRemoteHall))
    this->sendTo(Peer.Peer, Text);
}

void PeerLink::sendLoanGrant(const std::string &Daemon, const RetryLoan &Loan) {
  PeerMessage Message = this->makeMessage();
  Message.LoanGrants.push_back(Loan);
  const std::string Text = encodePeerMessage(Message);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto SendToAsker = [&](const std::vector<DaemonRecord> &Peers) {
    for (const DaemonRecord &Peer : Peers)
      if (Peer.Name == Daemon)
        this->sendTo(Peer.Peer, Text);
  };
  SendToAsker(this->Near);
  for (const auto &[Hall, Peers] : this->Far)
    SendToAsker(Peers);
}

void PeerLink::setStoreState(const StoreState &State) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Store = State;
}

size_t PeerLink::countHallDaemons() {
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
  // What is asked of this daemon, or lent to it, is for nobody else.
  const bool IsForAll = Taken.LoanRequests.empty() && Taken.LoanGrants.empty();
  if (Taken.Hall != this->Self.Hall && !Taken.IsRelayed && IsForAll) {
    Taken.IsRelayed = true;
    this->sendWithinHall(encodePeerMessage(Taken));
  }
  this->Handle(Taken);
}

/// Throws away what has come so far. After a standstill that is what peers said
/// during it: taken now, its ages would count from now.
size_t PeerLink::dropReceived() const {
  char Byte = 0;
  size_t Dropped = 0;
  while (::recv(this->Descriptor, &Byte, sizeof(Byte), MSG_DONTWAIT) >= 0)
    ++Dropped;
  return Dropped;
}

void PeerLink::runThread() {
  std::string Buffer;
  PauseDetector Watch(fromMillis(ReceiveMillis));
  while (!this->IsStopping) {
    pollfd Poll{this->Descriptor, POLLIN, 0};
    const int Ready = ::poll(&Poll, 1, ReceiveMillis);
    const Duration Stood = Watch.recordRound(readSteadyClock());
    if (Stood > Duration::zero()) {
      logWarning("peer-messages-dropped", "count={} stood-ms={}",
                 this->dropReceived(), toMillis(Stood));
      continue;
    }
    if (Ready <= 0)
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
