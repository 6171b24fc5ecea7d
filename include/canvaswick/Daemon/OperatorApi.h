//===- OperatorApi.h - Operators' queries -----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Answers operators' queries: status, the explanation of a backend server's
/// share, and the figures for the report on error budget burn. It changes
/// nothing: changes go through the settings.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_OPERATORAPI_H
#define CANVASWICK_DAEMON_OPERATORAPI_H

#include "canvaswick/Daemon/ConfigAgent.h"
#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Proxy/ServerPaths.h"

namespace canvaswick {

/// Answers operators' calls. Thread-safe.
class OperatorApi {
public:
  OperatorApi(const ControlContext &Context, MembershipAgent &Members,
              ConfigAgent &Config, const RequestQuarantine &Quarantine,
              OrganisationQuotas &Organisations, const ServerPaths &Paths);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Returns the metrics page: counters, latency quantiles and shares.
  std::string formatMetrics() const;

private:
  Json::Value handleStatus() const;
  Json::Value handleExplain(const Json::Value &Params) const;
  Json::Value handleBurn() const;
  Json::Value handleQuarantined() const;
  Json::Value handleOrganisations() const;
  std::vector<QuotaStatus> listOrganisations() const;

  const ControlContext &Context;
  MembershipAgent &Members;
  ConfigAgent &Config;
  const RequestQuarantine &Quarantine;
  OrganisationQuotas &Organisations;
  const ServerPaths &Paths;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_OPERATORAPI_H
