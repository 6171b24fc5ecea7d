//===- FleetRuntime.cpp - Runtime of one settings version -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds the services and reuses those whose configuration has not changed.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/FleetRuntime.h"

namespace canvaswick {

FleetRuntime::FleetRuntime(FleetConfigRef Given, const DaemonIdentity &Identity,
                           const FleetRuntime *Previous, TimePoint Now)
    : Config(std::move(Given)), Routes(this->Config->Routes) {
  // Comparing the servers of a large fleet one by one takes milliseconds.
  const bool IsSameConfig = Previous && Previous->Config == this->Config;
  for (const ServiceConfig &Service : this->Config->Services) {
    ServiceRuntimeRef Old;
    if (Previous)
      Old = Previous->findService(Service.Name);
    if (Old && (IsSameConfig || Old->getConfig() == Service) &&
        Old->matchesSubset(Identity))
      this->Services.push_back(Old);
    else
      this->Services.emplace_back(
          new ServiceRuntime(Service, Identity, Old.get(), Now));
  }
}

ServiceRuntimeRef FleetRuntime::findService(const std::string &Name) const {
  for (const ServiceRuntimeRef &Service : this->Services)
    if (Service->getConfig().Name == Name)
      return Service;
  return nullptr;
}

bool FleetRuntime::mayReceive(const std::string &Service,
                              const std::string &Server, TimePoint Now) const {
  const ServiceRuntimeRef Found = this->findService(Service);
  return Found && Found->mayReceive(Server, Now);
}

void FleetRuntime::limitConnections(ConnectionPool &Pool,
                                    const FleetRuntime *Previous) const {
  for (const ServiceRuntimeRef &Service : this->Services) {
    if (Previous && Previous->findService(Service->getConfig().Name) == Service)
      continue;
    for (size_t I = 0; I < Service->countServers(); ++I)
      Pool.setBound(Service->getServer(I).Address,
                    static_cast<size_t>(Service->getSubset().Connections[I]));
  }
}

FleetRuntimeRef FleetRuntimeSlot::get() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Current;
}

void FleetRuntimeSlot::set(FleetRuntimeRef Runtime) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Current.swap(Runtime);
}

} // namespace canvaswick
