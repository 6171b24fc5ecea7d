//===- OperatorApi.h - What operators may ask a daemon ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Status, the explanation of a backend server's share, and the figures for the
/// report on service-level burn. Queries only: changes go through the settings.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_OPERATORAPI_H
#define CANVASWICK_DAEMON_OPERATORAPI_H

#include "canvaswick/Daemon/ConfigAgent.h"
#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/RequestQuarantine.h"

namespace canvaswick {

/// Answers operators' calls. Thread-safe.
class OperatorApi {
public:
  OperatorApi(const ControlContext &Context, MembershipAgent &Members,
              ConfigAgent &Config, const RequestQuarantine &Guard,
              OrganisationQuotas &Organisations);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Returns the metrics page: counters and latency quantiles.
  std::string formatMetrics() const;

private:
  Json::Value answerStatus() const;
  Json::Value answerExplain(const Json::Value &Params) const;
  Json::Value answerBurn() const;
  Json::Value answerHeld() const;
  Json::Value answerOrganisations() const;
  std::vector<AllowanceStatus> listOrganisations() const;

  const ControlContext &Context;
  MembershipAgent &Members;
  ConfigAgent &Config;
  const RequestQuarantine &Guard;
  OrganisationQuotas &Organisations;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_OPERATORAPI_H
