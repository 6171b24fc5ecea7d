//===- PeerLink.cpp - Datagrams between daemons ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses one UDP socket. One thread receives; any thread may send.
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

/// The maximum size of a datagram, which crosses common links without
/// fragmentation.
static constexpr size_t MaxDatagramBytes = 1400;

/// The maximum number of rows in one datagram. Each takes less than 30 bytes,
/// so they fit.
static constexpr size_t MaxRows = 40;
static constexpr size_t MaxRates = 10;

/// The maximum number of usage rows in one datagram. Each takes less than 33
/// bytes, so they fit.
static constexpr size_t MaxUsages = 36;

/// The maximum number of requests in flight in one datagram; they count towards
/// MaxRows.
static constexpr size_t MaxInFlight = 30;

/// The number of peers from which a loan is requested at once: of the same hall
/// at first, then including one of another hall, because a hall whose servers
/// fail runs out of retries as a whole. It is small because a grant that is not
/// used is lost to the fleet for a window.
static constexpr size_t PeersPerRequest = 2;

/// The number of messages that are remembered to drop duplicates.
static constexpr size_t MaxRecentMessages = 512;

/// The interval at which the receiving thread checks whether to stop.
static constexpr int ReceiveTimeoutMillis = 500;

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
                     "cannot parse the address " + this->Self.Peer.format());
  this->Descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->Descriptor < 0 ||
      ::bind(this->Descriptor, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0)
    return makeError(ErrorKind::Io,
                     "cannot bind to UDP address " + this->Self.Peer.format());
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
  this->LocalPeers.clear();
  this->RemotePeers.clear();
  for (DaemonRecord &Peer : Peers) {
    if (Peer.Name == this->Self.Name)
      continue;
    if (Peer.Hall == this->Self.Hall)
      this->LocalPeers.push_back(std::move(Peer));
    else
      this->RemotePeers[Peer.Hall].push_back(std::move(Peer));
  }
}

/// Sends one datagram unless the link has been stopped. The caller holds the
/// mutex.
void PeerLink::sendTo(const Endpoint &Peer, const std::string &Text) {
  if (this->Descriptor < 0)
    return;
  sockaddr_in Address;
  if (!makeSocketAddress(Peer, Address))
    return;
  // A datagram that cannot be sent now is dropped: later it would be outdated.
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
  for (const DaemonRecord &Peer : this->LocalPeers)
    this->sendTo(Peer.Peer, Text);
}

void PeerLink::sendToOtherHalls(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Hall, Peers] : this->RemotePeers)
    this->sendTo(Peers[this->Random() % Peers.size()].Peer, Text);
}

/// Fills in the header of a message. The caller does not hold the mutex.
PeerMessage PeerLink::makeMessage() {
  PeerMessage Message;
  Message.Source = this->Self.Name;
  Message.Hall = this->Self.Hall;
  Message.Sequence = this->NextSequence++;
  Message.IsCutOff = this->IsCutOff;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Message.AsOf = this->Store.AsOf;
  Message.Digest = this->Store.Digest;
  return Message;
}

/// Removes up to Count elements from the end of All and returns them.
template <typename T>
static std::vector<T> extractLast(std::vector<T> &All, size_t Count) {
  const size_t Extracted = std::min(All.size(), Count);
  const auto First = All.end() - static_cast<ptrdiff_t>(Extracted);
  std::vector<T> Last(First, All.end());
  All.erase(First, All.end());
  return Last;
}

void PeerLink::sendObservations(std::vector<Observation> Observations,
                                const std::vector<InFlightReport> &InFlight,
                                std::vector<QuotaUsage> Usages,
                                std::vector<LimitReport> Limits) {
  PeerMessage First = this->makeMessage();
  First.Usages = std::move(Usages);
  First.Limits = std::move(Limits);
  First.InFlight = InFlight;
  // With more requests in flight than this, each one carries little
  // information.
  if (First.InFlight->size() > MaxInFlight)
    First.InFlight->resize(MaxInFlight);
  const size_t UsedRows =
      First.InFlight->size() + First.Usages.size() + First.Limits.size();
  First.Observations =
      extractLast(Observations, MaxRows - std::min(MaxRows, UsedRows));
  this->sendWithinHall(encodePeerMessage(First));
  while (!Observations.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Observations = extractLast(Observations, MaxRows);
    this->sendWithinHall(encodePeerMessage(Message));
  }
}

void PeerLink::sendHallUsages(std::vector<QuotaUsage> Usages) {
  do {
    PeerMessage Message = this->makeMessage();
    Message.HallUsages = extractLast(Usages, MaxUsages);
    this->sendToOtherHalls(encodePeerMessage(Message));
  } while (!Usages.empty());
}

void PeerLink::sendEstimates(std::vector<HealthEstimate> Estimates,
                             std::vector<HallFailureRate> Rates,
                             std::vector<LimitReport> Limits) {
  while (!Estimates.empty() || !Rates.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Limits = std::exchange(Limits, {});
    Message.Rates = extractLast(Rates, MaxRates);
    Message.Estimates = extractLast(Estimates, MaxRows - Message.Limits.size());
    this->sendToOtherHalls(encodePeerMessage(Message));
  }
}

void PeerLink::sendLocalEstimates(std::vector<HealthEstimate> Estimates) {
  while (!Estimates.empty()) {
    PeerMessage Message = this->makeMessage();
    Message.Estimates = extractLast(Estimates, MaxRows);
    this->sendWithinHall(encodePeerMessage(Message));
  }
}

void PeerLink::sendStoreState(TimePoint Now) {
  PeerMessage Message = this->makeMessage();
  if (this->Self.Control.Port != 0)
    Message.Control = this->Self.Control;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Store.IsWatching)
      Message.SinceStoreAnswer =
          std::max(Duration::zero(), Now - this->Store.HeardAt);
  }
  this->sendWithinHall(encodePeerMessage(Message));
}

void PeerLink::sendToAll(const PeerMessage &Message) {
  const std::string Text = encodePeerMessage(Message);
  this->sendWithinHall(Text);
  this->sendToOtherHalls(Text);
}

void PeerLink::sendPoisonReport(const PoisonRequestReport &Report) {
  PeerMessage Message = this->makeMessage();
  Message.PoisonRequests = Report;
  this->sendToAll(Message);
}

void PeerLink::sendGoneServers(std::vector<GoneReport> Reports) {
  PeerMessage Message = this->makeMessage();
  Message.GoneServers = std::move(Reports);
  this->sendToAll(Message);
}

/// Chooses the peers from which to request a loan. The caller holds the mutex.
std::vector<DaemonRecord> PeerLink::chooseLenders(bool AsksRemoteHall) {
  const size_t RemoteCount =
      AsksRemoteHall && !this->RemotePeers.empty() ? 1 : 0;
  std::vector<DaemonRecord> Chosen;
  std::sample(this->LocalPeers.begin(), this->LocalPeers.end(),
              std::back_inserter(Chosen), PeersPerRequest - RemoteCount,
              this->Random);
  if (RemoteCount > 0) {
    const auto Hall = std::next(
        this->RemotePeers.begin(),
        static_cast<ptrdiff_t>(this->Random() % this->RemotePeers.size()));
    std::sample(Hall->second.begin(), Hall->second.end(),
                std::back_inserter(Chosen), RemoteCount, this->Random);
  }
  return Chosen;
}

void PeerLink::sendLoanRequest(const RetryLoan &Loan, bool AsksRemoteHall) {
  PeerMessage Message = this->makeMessage();
  Message.LoanRequests.push_back(Loan);
  const std::string Text = encodePeerMessage(Message);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const DaemonRecord &Peer : this->chooseLenders(AsksRemoteHall))
    this->sendTo(Peer.Peer, Text);
}

void PeerLink::sendLoanGrant(const std::string &Daemon, const RetryLoan &Loan) {
  PeerMessage Message = this->makeMessage();
  Message.LoanGrants.push_back(Loan);
  const std::string Text = encodePeerMessage(Message);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto SendToBorrower = [&](const std::vector<DaemonRecord> &Peers) {
    for (const DaemonRecord &Peer : Peers)
      if (Peer.Name == Daemon)
        this->sendTo(Peer.Peer, Text);
  };
  SendToBorrower(this->LocalPeers);
  for (const auto &[Hall, Peers] : this->RemotePeers)
    SendToBorrower(Peers);
}

void PeerLink::setStoreState(const StoreState &State) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Store = State;
}

size_t PeerLink::countHallDaemons() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LocalPeers.size() + 1;
}

bool PeerLink::isNew(const PeerMessage &Message) {
  const std::pair<std::string, uint64_t> MessageId(Message.Source,
                                                   Message.Sequence);
  if (!this->Recent.insert(MessageId).second)
    return false;
  this->RecentOrder.push_back(MessageId);
  if (this->RecentOrder.size() > MaxRecentMessages) {
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
  PeerMessage &Received = Message.value();
  if (Received.Source == this->Self.Name || !this->isNew(Received))
    return;
  this->Counters.add(Counter::PeerDatagramsAccepted);
  // Loan requests and grants are for this daemon only and are not relayed.
  const bool IsForAll =
      Received.LoanRequests.empty() && Received.LoanGrants.empty();
  if (Received.Hall != this->Self.Hall && !Received.IsRelayed && IsForAll) {
    Received.IsRelayed = true;
    this->sendWithinHall(encodePeerMessage(Received));
  }
  this->Handle(Received);
}

/// Discards all received datagrams. After a pause of the process these are what
/// peers sent during the pause: the ages in them would be counted from now.
size_t PeerLink::dropReceived() const {
  char Byte = 0;
  size_t Dropped = 0;
  while (::recv(this->Descriptor, &Byte, sizeof(Byte), MSG_DONTWAIT) >= 0)
    ++Dropped;
  return Dropped;
}

void PeerLink::runThread() {
  std::string Buffer;
  PauseDetector Watch(fromMillis(ReceiveTimeoutMillis));
  while (!this->IsStopping) {
    pollfd Poll{this->Descriptor, POLLIN, 0};
    const int Ready = ::poll(&Poll, 1, ReceiveTimeoutMillis);
    const Duration Paused = Watch.recordRound(readSteadyClock());
    if (Paused > Duration::zero()) {
      logWarning("peer-messages-dropped", "count={} stood-ms={}",
                 this->dropReceived(), toMillis(Paused));
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
