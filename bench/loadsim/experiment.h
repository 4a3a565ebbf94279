#ifndef BLUEBELLBARROW_LOADSIM_EXPERIMENT_H
#define BLUEBELLBARROW_LOADSIM_EXPERIMENT_H

#include "kernel/error.h"
#include "kernel/ids.h"
#include "plugins/admission/admission.h"
#include "tree/policy.h"

#include <map>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Parameters of the whole mesh. */
struct MeshModel {
  Duration Length{};
  size_t Domains = 0;

  /** One-way network delays. */
  Duration SameDomainDelay{};
  Duration CrossDomainDelay{};
  Duration CallerDelay{};

  /** Processor time that a node spends on each message. */
  Duration MessageCost{};

  uint64_t Seed = 1;
};

/** A service and its targets. */
struct ServiceModel {
  std::string Name;
  size_t Targets = 0;
  size_t Slots = 0;

  /** Speeds relative to the nominal one, assigned to targets in rotation. */
  std::vector<double> Speeds;

  /** Time after a restart with service times ColdFactor times as long. */
  Duration ColdTime{};
  double ColdFactor = 1;

  /**
   * Relative increase of the service time when every slot is taken; in
   * proportion to the taken share of the slots otherwise.
   */
  double FullFactor = 0;
};

/** Requests of one kind. */
struct KindModel {
  std::string Name;
  std::string Service;

  /** Requests per second; 0 for requests that only targets make. */
  double Rate = 0;

  Duration ServiceTime{};

  /** Standard deviation relative to the mean; log-normal distribution. */
  double RelativeDeviation = 0;

  /** Share of requests that take TailFactor times as long. */
  double TailShare = 0;
  double TailFactor = 1;

  Duration LatencyObjective{};

  /** Total time that a caller waits. */
  Duration Deadline{};

  /** The route's timeout for one request. */
  Duration Timeout{};

  int64_t Priority = 1;

  /** Utility of a response within the latency objective, and of a late one. */
  double Utility = 1;
  double LateUtility = 0;

  /** Retries by the caller. */
  int CallerRetries = 0;

  /** Retries by the node, each at another target. */
  int64_t Retries = 1;

  bool Idempotent = false;
  size_t ResponseBytes = 0;

  /** Kind of the calls that the target makes; empty for none. */
  std::string CalledKind;
  int CallCount = 0;

  /** Share of requests for which the target makes these calls. */
  double CallShare = 0;
};

/** A fault or a change of load during the run. */
struct EventModel {
  std::string Name;

  /** restart, slow, fail or burst. */
  std::string Type;

  Duration Start{};
  Duration Length{};

  /** Service, or kind for a burst; empty for all. */
  std::string Scope;

  /** Share of the targets that are affected. */
  double Share = 1;

  /** Factor of the service time or rate, or share of requests that fail. */
  double Factor = 1;
};

/** A set of policies; an experiment compares its variants. */
struct VariantModel {
  std::string Name;

  /** Defaults of every route. */
  Policy RouteDefaults;

  AdmissionOptions Admission;

  /** False: requests queue at the target without a limit. */
  bool AdmissionEnabled = true;

  /** Nodes report the mean service time of their target in each reply. */
  bool ReportsMeanServiceTime = true;
};

/** The contents of an experiment file. */
struct Experiment {
  MeshModel Mesh;
  std::vector<ServiceModel> Services;
  std::vector<KindModel> Kinds;
  std::vector<EventModel> Events;
  std::vector<VariantModel> Variants;

  /** "SECTION/KEY" to which SweepValues are assigned in turn; may be empty. */
  std::string SweepKey;
  std::vector<std::string> SweepValues;
};

/** Values that replace those of the file, by "SECTION/KEY". */
using Overrides = std::map<std::string, std::string>;

/**
 * Reads an experiment file. Errors, with file, line and key: unknown keys,
 * wrong units, and references to services, kinds, event types or balancers
 * that do not exist.
 */
Result<Experiment> readExperiment(const std::string &Path,
                                  const Overrides &ValueOverrides = {});

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_EXPERIMENT_H
