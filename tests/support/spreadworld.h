#ifndef BLUEBELLBARROW_TESTS_SPREADWORLD_H
#define BLUEBELLBARROW_TESTS_SPREADWORLD_H

#include "plugins/spread/spread.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bluebellbarrow {

/**
 * Replays a trace on a handful of Spread objects in virtual time, with a
 * platform and links that fail as the trace says. tests/traces/README.md
 * lists the commands.
 */
class SpreadWorld {
public:
  /** Runs the trace in \a Text and returns the session, for a golden file. */
  std::string replay(const std::string &Text);

  /** Returns the expectations of the trace that did not hold. */
  const std::vector<std::string> &failures() const { return this->Failures; }

private:
  struct Node {
    Vm Listed;
    std::unique_ptr<Spread> Decisions;
    uint64_t Life = 0;
    TimePoint LastTick;
    TimePoint NextTick;
    bool Frozen = false;
    std::deque<std::function<void()>> Held;
    VersionId Applied;
  };

  struct Event {
    std::function<void()> Work;
  };

  struct Value {
    std::string Text;
    uint64_t Revision = 0;
  };

  /** What one replica of the platform shows. */
  struct Replica {
    std::map<std::string, Value> Values;
  };

  struct Watch {
    std::string Node;
    uint64_t Life = 0;
    ItemKind Kind = ItemKind::Config;
    uint64_t ChangedSince = 0;
    TimePoint Until;
    bool Stale = false;

    /** It waited before; a platform that refuses may let it end. */
    bool Waited = false;
  };

  void execute(const std::vector<std::string> &Words);

  /** Each returns whether the command is one of its own. */
  bool executeSetup(const std::vector<std::string> &Words);
  bool executeNode(const std::vector<std::string> &Words);
  bool executeLink(const std::vector<std::string> &Words);

  void executePlatform(const std::vector<std::string> &Words);
  void expect(const std::vector<std::string> &Words);
  void start(Node &Target, bool ClockBack);
  void startLater(Node &Target);
  void startEarlier(Node &Target);
  void slowDown(Node &Target);
  void speedUp(Node &Target);
  void kill(Node &Target);
  void drain(Node &Target);
  void freeze(Node &Target);
  void thaw(Node &Target);
  void publish(uint64_t Number, const std::string &What,
               const std::string &Hold);
  void publishVmList();
  std::vector<Address> seeds() const;
  SpreadPolicy firstPolicy() const;
  void run(Duration Length);
  void at(TimePoint When, std::function<void()> Work);
  void toNode(const std::string &Name, uint64_t Life, Duration Delay,
              std::function<void(Node &)> Work);
  void tick(Node &Target);
  void hastenTick(Node &Target);
  void carryOut(Node &Source);
  void act(Node &Source, const SpreadAction &Action);
  void sendFrom(Node &Source, const Address &To,
                const std::function<void(Node &, const Address &)> &Deliver,
                bool Reliable);
  void answerRead(const Watch &Read, bool Final);
  void pollWatches();
  void note(const Node &Of, const AuditEvent &Event);
  void line(const std::string &Text);
  void fail(const std::string &Text);
  bool linked(const std::string &From, const std::string &To) const;
  bool streams(const std::string &From, const Node &To) const;
  std::vector<Node *> chosen(const std::string &Name);
  std::string numberOf(const Node &Of) const;
  Node *byAddress(const Address &Ip);

  TimePoint Now = TimePoint(seconds(1000));
  std::map<std::string, Node> Nodes;
  std::multimap<TimePoint, std::function<void()>> Queue;
  Replica Fresh;
  Replica Old;
  std::map<std::string, std::string> HeldValues;
  uint64_t Revision = 0;
  uint64_t LastLife = 0;
  uint64_t Reads = 0;
  bool Down = false;
  bool Exact = false;

  /** Nodes that the list lacks. */
  std::set<std::string> Unlisted;

  /** Nodes whose reads of the platform never end in time. */
  std::set<std::string> Slow;

  /** Nodes that the platform refuses. */
  std::set<std::string> Refused;

  /** Watches of refused nodes end without news in place of failing. */
  bool RefusesQuietly = false;

  bool Stale = false;
  bool Alternate = false;
  bool Turn = false;
  std::string Profile = "readers = 2";
  std::vector<Watch> Watches;
  std::set<std::pair<std::string, std::string>> Cuts;

  /** Pairs whose open stream carries nothing any more, by sender first. */
  std::set<std::pair<std::string, std::string>> Muted;
  std::vector<std::string> Failures;
  std::string Session;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TESTS_SPREADWORLD_H
