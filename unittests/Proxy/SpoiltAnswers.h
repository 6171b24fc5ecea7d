//===- SpoiltAnswers.h - Answers that servers spoil ----------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A proxy before a server that gives one prepared answer to every request and
/// ends the connection.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PROXY_SPOILTANSWERS_H
#define CANVASWICK_UNITTESTS_PROXY_SPOILTANSWERS_H

#include "RawBackend.h"

namespace canvaswick {

/// The id of every request, which servers echo.
inline constexpr const char *CallerId = "r-1";

/// Returns options by which callers' ids are passed on and servers prove that
/// a success is theirs.
inline ProxyOptions makeProvedOptions() {
  ProxyOptions Options;
  Options.Headers.RequestId = "Caller-Id";
  Options.Headers.PassesCallerId = true;
  Options.Headers.AnswerProof = "Proof";
  Options.MaxBufferedResponseBytes = 1 << 20;
  Options.MaxBufferedBodyBytes = 1 << 20;
  return Options;
}

/// What a caller sees of an answer.
struct SeenAnswer {
  std::string Head;
  std::string Body;
  /// Whether the answer is whole as its head delimits it.
  bool IsWhole = false;
  size_t Arrivals = 0;

  /// Returns whether the caller takes it for a whole success.
  bool isSuccess() const {
    return this->IsWhole && this->Head.starts_with("HTTP/1.1 2");
  }
};

/// What becomes of the server's connection after an answer.
enum class AnswerEnd : uint8_t { Close, Reset, Keep };

/// Gives the same bytes to every request.
class SpoiltAnswers {
public:
  explicit SpoiltAnswers(const ProxyOptions &Options = makeProvedOptions())
      : Front([this](RawSocket &Socket) { this->serve(Socket); }, Options) {}

  /// Sets what the server answers, and how. If it pauses, it does so after so
  /// many bytes.
  void setAnswer(std::string Bytes, AnswerEnd End = AnswerEnd::Close,
                 size_t PauseAfter = std::string::npos) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Bytes = std::move(Bytes);
    this->End = End;
    this->PauseAfter = PauseAfter;
  }

  /// Sends one request, with more fields if any are given. One to /once may run
  /// once only.
  SeenAnswer ask(const std::string &Target, const std::string &Fields = "") {
    const size_t Before = this->Arrivals;
    RawSocket Caller(RawSocket::connectTo(this->Front.getPort()));
    Caller.setTimeLimit(5);
    CHECK(Caller.write("GET " + Target +
                       " HTTP/1.1\r\nHost: h\r\nCaller-Id: " + CallerId +
                       "\r\nX-Deadline-Ms: 3000\r\n" + Fields + "\r\n"));
    RawMessage Answer;
    SeenAnswer Seen;
    Seen.IsWhole = Caller.readMessage(Answer);
    Seen.Head = Answer.Head;
    Seen.Body = Answer.Body;
    Seen.Arrivals = this->Arrivals - Before;
    return Seen;
  }

  RawProxy &getFront() { return this->Front; }

private:
  void serve(RawSocket &Socket) {
    RawMessage Request;
    while (Socket.readMessage(Request)) {
      ++this->Arrivals;
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Socket.write(this->Bytes.substr(0, this->PauseAfter));
      if (this->PauseAfter < this->Bytes.size()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        Socket.write(this->Bytes.substr(this->PauseAfter));
      }
      if (this->End == AnswerEnd::Reset)
        Socket.resetAtEnd();
      if (this->End != AnswerEnd::Keep)
        return;
    }
  }

  std::mutex Mutex;
  std::string Bytes;
  AnswerEnd End = AnswerEnd::Close;
  size_t PauseAfter = std::string::npos;
  std::atomic<size_t> Arrivals{0};
  RawProxy Front;
};

/// A head, and the body that follows it.
struct HeadCase {
  std::string Name;
  std::string Head;
  std::string Body;
};

inline const std::string Body(40, 'b');

inline const std::string Chunked = "28\r\n" + Body + "\r\n0\r\n\r\n";

/// Returns a head with these header fields besides the id and the proof.
inline std::string makeHead(const std::string &Fields,
                            const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nCaller-Id: " + CallerId +
         "\r\nProof: p\r\n" + Fields + "\r\n";
}

/// Returns the number of header fields of a name, in small letters.
inline size_t countFields(std::string Head, const std::string &Name) {
  std::transform(Head.begin(), Head.end(), Head.begin(), ::tolower);
  size_t Count = 0;
  for (size_t At = Head.find("\r\n" + Name + ":"); At != std::string::npos;
       At = Head.find("\r\n" + Name + ":", At + 1))
    ++Count;
  return Count;
}

/// Asks for an answer in a new proxy, whole and with half of its body.
inline void checkNeverPasses(const HeadCase &Kind, const std::string &Target,
                             const ProxyOptions &Options) {
  for (const size_t Bytes : {Kind.Body.size(), Kind.Body.size() / 2}) {
    SpoiltAnswers Server(Options);
    Server.setAnswer(Kind.Head + Kind.Body.substr(0, Bytes));
    const SeenAnswer Seen = Server.ask(Target);
    CAPTURE(Kind.Name);
    CAPTURE(Target);
    CAPTURE(Bytes);
    CAPTURE(Seen.Head);
    CHECK(Seen.Arrivals > 0);
    // A head that was passed on already is cut.
    if (Seen.IsWhole)
      CHECK(Seen.Head.starts_with("HTTP/1.1 502"));
    CHECK((Seen.IsWhole || Options.MaxBufferedResponseBytes == 0));
    // What was sent may have run: no answer may say that it has not.
    CHECK(Seen.Head.find("not-run") == std::string::npos);
    // Such a server fails.
    CHECK(Server.getFront().Counters.get(Counter::UpstreamFailures) +
              Server.getFront().Counters.get(Counter::MismatchedAnswers) ==
          Seen.Arrivals);
  }
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_PROXY_SPOILTANSWERS_H
