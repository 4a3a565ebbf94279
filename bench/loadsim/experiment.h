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

/** The mesh as a whole. */
struct MeshModel {
  Duration Length{};
  size_t Domains = 0;

  /** One-way delays. */
  Duration InsideDelay{};
  Duration BetweenDelay{};
  Duration CallerDelay{};

  /** Time that a node's processor takes for each message. */
  Duration MessageCost{};

  uint64_t Seed = 1;
};

/** A service and its targets. */
struct ServiceModel {
  std::string Name;
  size_t Targets = 0;
  size_t Slots = 0;

  /** Speeds relative to the usual one; targets take them in turn. */
  std::vector<double> Speeds;

  /** Time after a start in which work takes ColdFactor times as long. */
  Duration Cold{};
  double ColdFactor = 1;

  /** Part by which work takes longer when every slot is taken. */
  double FullFactor = 0;
};

/** Requests of one kind. */
struct KindModel {
  std::string Name;
  std::string Service;

  /** Requests in a second; 0 for those that only targets make. */
  double Rate = 0;

  Duration Work{};

  /** Deviation of the work relative to its mean; log-normal. */
  double Spread = 0;

  /** Share of requests that take TailFactor times as long. */
  double TailShare = 0;
  double TailFactor = 1;

  Duration Aim{};

  /** Time that a caller waits in all. */
  Duration Deadline{};

  /** The route's limit for one request. */
  Duration Timeout{};

  int64_t Priority = 1;
  double Worth = 1;
  double LateWorth = 0;

  /** Times that a caller tries again. */
  int CallerRetries = 0;

  /** Further targets that one request may reach. */
  int64_t Retries = 1;

  bool Idempotent = false;
  size_t Bytes = 0;

  /** Kind of the calls that the target makes; empty for none. */
  std::string Calls;
  int CallCount = 0;

  /** Share of requests that make them. */
  double CallShare = 0;
};

/** Something that happens during the run. */
struct EventModel {
  std::string Name;

  /** restart, slow, fail or burst. */
  std::string What;

  Duration At{};
  Duration Length{};

  /** Service, or kind for a burst; empty for all. */
  std::string Service;

  /** Share of the targets. */
  double Share = 1;

  /** Factor of work or of rate, or share of failures. */
  double Factor = 1;
};

/** A set of policies to compare. */
struct VariantModel {
  std::string Name;

  /** Defaults of each route. */
  Policy Rules;

  AdmissionOptions Admission;

  /** False: requests queue at the target without limit. */
  bool Admits = true;

  /** Nodes tell with each answer how long their target usually takes. */
  bool SharesMeans = true;
};

/** An experiment, as its file says. */
struct Experiment {
  MeshModel Mesh;
  std::vector<ServiceModel> Services;
  std::vector<KindModel> Kinds;
  std::vector<EventModel> Events;
  std::vector<VariantModel> Variants;

  /** "SECTION/KEY" whose values are tried in turn; empty for none. */
  std::string SweepKey;
  std::vector<std::string> SweepValues;
};

/** Values that replace those of the file, by "SECTION/KEY". */
using Replacements = std::map<std::string, std::string>;

/**
 * Reads an experiment. Errors: unknown keys, wrong units and names that
 * nothing has, with file, line and key.
 */
Result<Experiment> readExperiment(const std::string &Path,
                                  const Replacements &Replaced = {});

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_EXPERIMENT_H
