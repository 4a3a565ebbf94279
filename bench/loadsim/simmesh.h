#ifndef BLUEBELLBARROW_LOADSIM_SIMMESH_H
#define BLUEBELLBARROW_LOADSIM_SIMMESH_H

#include "simnode.h"

#include <string>
#include <vector>

namespace bluebellbarrow {

/** What became of the requests of callers, of one kind or in one second. */
struct Tally {
  uint64_t Asked = 0;
  uint64_t InAim = 0;
  uint64_t Late = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;

  /** Worth that was owed, and that was earned. */
  double Owed = 0;
  double Earned = 0;

  double credit() const {
    return this->Owed > 0 ? this->Earned / this->Owed : 1;
  }

  double share(uint64_t Part) const {
    return this->Asked > 0
               ? static_cast<double>(Part) / static_cast<double>(this->Asked)
               : 0;
  }
};

/** The outcome of one run. */
struct SimResult {
  Tally All;
  std::map<std::string, Tally> Kinds;

  /** By the second in which callers asked first. */
  std::vector<Tally> Seconds;

  /** Credit of the worst two seconds in a row. */
  double worstCredit() const;
};

/**
 * Plays an experiment with one set of policies: callers who come back after a
 * refusal, nodes, and targets. Thread safety: none.
 */
class SimMesh {
public:
  /** \pre the references outlive the mesh. */
  SimMesh(const Experiment &Model, const VariantModel &Variant);

  SimResult run();

private:
  /** A request of a caller, over all its attempts. */
  struct Request {
    const KindModel *Kind = nullptr;
    TimePoint Began;
    int Attempts = 0;
  };

  using RequestPtr = std::shared_ptr<Request>;

  std::shared_ptr<const Snapshot> buildMap() const;
  void buildNodes();
  void scheduleArrival(const KindModel &Kind);
  void scheduleEvents();
  void begin(const EventModel &Event);
  void attempt(const RequestPtr &Of);
  void onAnswer(const RequestPtr &Of, const SimAnswer &Answer);
  bool comesBack(const RequestPtr &Of, const SimAnswer &Answer);
  void count(const Request &Of, const SimAnswer &Answer);
  double rateOf(const KindModel &Kind) const;
  std::vector<SimNode *> affected(const EventModel &Event);

  const Experiment &Model;
  EventQueue Events;
  SimShared Shared;
  std::vector<std::unique_ptr<SimNode>> Nodes;
  std::mt19937_64 Random;
  TimePoint Start;
  std::map<std::string, double> RateFactors;
  SimResult Result;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMMESH_H
