//===- BurnReport.cpp - Error budget burn rates per service ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sums the daemons' totals by service and hall, and divides the fraction of
/// bad requests by the fraction that the objective allows.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Metrics/BurnReport.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

double BurnLine::getBurn(size_t Window) const {
  const ServiceTotals &Sum = this->Totals[Window];
  if (Sum.All == 0)
    return -1;
  const double Bad =
      static_cast<double>(Sum.All - Sum.Good) / static_cast<double>(Sum.All);
  const double Allowed = 1 - static_cast<double>(this->ObjectivePercent) / 100;
  // An objective of 100 % leaves no budget, and the division has no result. One
  // bad request in a thousand then counts as a burn rate of 1.
  static constexpr double MinAllowed = 0.001;
  return Bad / std::max(Allowed, MinAllowed);
}

static void addTotals(BurnLine &Line, const BurnSample &Sample) {
  Line.ObjectivePercent = Sample.ObjectivePercent;
  for (size_t I = 0; I < BurnWindows.size(); ++I) {
    Line.Totals[I].All += Sample.Totals[I].All;
    Line.Totals[I].Good += Sample.Totals[I].Good;
  }
}

BurnReport mergeBurnSamples(const std::vector<BurnSample> &Samples,
                            std::vector<std::string> SilentDaemons) {
  // The empty hall name holds the sum over all halls. It sorts first, so this
  // line precedes those of the halls.
  std::map<std::pair<std::string, std::string>, BurnLine> Lines;
  for (const BurnSample &Sample : Samples)
    for (const std::string &Hall : {std::string(), Sample.Hall}) {
      BurnLine &Line = Lines[{Sample.Service, Hall}];
      Line.Service = Sample.Service;
      Line.Hall = Hall;
      addTotals(Line, Sample);
    }
  BurnReport Report;
  Report.SilentDaemons = std::move(SilentDaemons);
  for (auto &[Key, Line] : Lines)
    Report.Lines.push_back(std::move(Line));
  return Report;
}

static std::string formatBurn(double Burn) {
  return Burn < 0 ? "-" : fmt::format("{:.2f}", Burn);
}

std::string formatBurnText(const BurnReport &Report) {
  std::string Text =
      fmt::format("{:<16} {:<12} {:>9}", "service", "hall", "objective");
  for (const int Minutes : BurnWindows)
    Text += fmt::format(" {:>8}", fmt::format("{}m", Minutes));
  Text += fmt::format(" {:>10}\n", "requests");
  for (const BurnLine &Line : Report.Lines) {
    Text += fmt::format("{:<16} {:<12} {:>8}%", Line.Service,
                        Line.Hall.empty() ? "all" : Line.Hall,
                        Line.ObjectivePercent);
    for (size_t I = 0; I < BurnWindows.size(); ++I)
      Text += fmt::format(" {:>8}", formatBurn(Line.getBurn(I)));
    Text += fmt::format(" {:>10}\n", Line.Totals.back().All);
  }
  for (const std::string &Daemon : Report.SilentDaemons)
    Text += fmt::format("no answer from {}\n", Daemon);
  return Text;
}

std::string formatBurnCsv(const BurnReport &Report) {
  std::string Text = "service,hall,objective_percent";
  for (const int Minutes : BurnWindows)
    Text += fmt::format(",burn_{0}m,requests_{0}m", Minutes);
  Text += "\n";
  for (const BurnLine &Line : Report.Lines) {
    Text += fmt::format("{},{},{}", Line.Service,
                        Line.Hall.empty() ? "all" : Line.Hall,
                        Line.ObjectivePercent);
    for (size_t I = 0; I < BurnWindows.size(); ++I)
      Text += fmt::format(",{},{}", formatBurn(Line.getBurn(I)),
                          Line.Totals[I].All);
    Text += "\n";
  }
  for (const std::string &Daemon : Report.SilentDaemons)
    Text += fmt::format("# no answer from {}\n", Daemon);
  return Text;
}

} // namespace canvaswick
