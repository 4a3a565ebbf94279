#ifndef BLUEBELLBARROW_SPREAD_SPREAD_H
#define BLUEBELLBARROW_SPREAD_SPREAD_H

#include "bootstrap.h"
#include "catalogstore.h"
#include "lapsedvms.h"
#include "platformfetch.h"
#include "plugins/membership/membership.h"
#include "pullcontrol.h"
#include "pushtracker.h"
#include "readorder.h"
#include "readschedule.h"
#include "spreadactions.h"
#include "topology.h"
#include "tree/policy.h"
#include "versionledger.h"

#include <array>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Who a node is and how it starts. */
struct SpreadOptions {
  std::string Mesh;
  VmName Self;
  FailureDomain Domain;
  Incarnation Life;

  /** Address of this node. */
  Address Ip;

  /** Nodes to ask for the VM list before the platform is asked. */
  std::vector<Address> Seeds;

  /** Time for which all peers must be silent before the platform counts. */
  Duration BootSilence = milliseconds(1000);

  /** Seed of the random source. */
  uint64_t Seed = 0;

  /**
   * The platform never shows an older version than before, so that a start
   * may believe it without asking peers first.
   */
  bool ExactPlatform = false;

  /** A whole read of the platform takes this node long. */
  bool ReadsSlowly = false;

  /** Policy until a version is in force. */
  SpreadPolicy FirstPolicy = defaultSpreadPolicy();
};

/** Returns why a version is bad, or nothing. Must depend on nothing else. */
using VersionCheck =
    std::function<std::optional<Error>(ItemKind, const WholeVersion &)>;

/** Returns the spread policy of a version of the settings. */
using SpreadPolicyOf = std::function<SpreadPolicy(const WholeVersion &)>;

/**
 * Brings versions from the platform to every node: who reads the platform, how
 * a version goes on down a tree in each failure domain, how digests and pulls
 * repair what the tree missed, and what a process that has just started or
 * woken up may believe.
 *
 * A decision object: events go in with the time, takeActions() says what to
 * do. The same events with the same seed give the same actions.
 * Thread safety: none; owned by one task.
 */
class Spread {
public:
  Spread(SpreadOptions Options, VersionCheck Check, SpreadPolicyOf PolicyOf,
         TimePoint Now);

  /** Time has passed; to be called at nextTick(). */
  void onTick(TimePoint Now);

  /** Returns when onTick() is due; each event may bring it forward. */
  TimePoint nextTick(TimePoint Now) const;

  void onDigest(const Address &From, const DigestMessage &Message,
                TimePoint Now);

  void onMessage(const Address &From, const ControlMessage &Message,
                 TimePoint Now);

  /** A message could not be sent: the peer can't be reached. */
  void onSendFailed(const Address &To, TimePoint Now);

  /** The platform answered a read with a value. */
  void onPlatformValue(ItemKind Kind, uint64_t Revision,
                       const std::string &Text, TimePoint Now);

  /** The platform answered that nothing has changed. */
  void onPlatformUnchanged(ItemKind Kind, TimePoint Now);

  void onPlatformFailed(ItemKind Kind, TimePoint Now);

  /** The platform answered a ReadPart; null when it had no such value. */
  void onPart(const Digest &Hash, const std::string *Text, TimePoint Now);

  /** The process did not run for a while and must not act on what it knew. */
  void onPaused(Duration Length, TimePoint Now);

  /** Changes what this node says of itself, and tells others at once. */
  void setOwnState(MemberState State, TimePoint Now);

  /** Returns and forgets the actions since the last call. */
  SpreadActions takeActions();

  const CatalogStore &store(ItemKind Kind) const;

  const VersionLedger &ledger(ItemKind Kind) const;

  /** Returns the VMs in use: those listed, and those that lapsed just now. */
  std::vector<Vm> vmsInUse() const { return this->Lapsed.inUse(); }

  const Topology &topology() const { return this->Nodes; }

  const Membership &membership() const { return this->Members; }

  const ReadSchedule &readSchedule() const { return this->Schedule; }

  const SpreadPolicy &policy() const { return this->Tuning; }

  bool settled() const { return this->Boot.settled(); }

private:
  struct Watch {
    bool InFlight = false;
    bool LastGood = false;
    uint64_t Revision = 0;
    TimePoint Started;
    TimePoint NotBefore;
    Duration Wait{};
    int Failures = 0;
  };

  struct Stream {
    explicit Stream(ItemKind Kind, uint64_t Seed)
        : Store(Kind), Pulls(Kind, Seed) {}

    CatalogStore Store;
    VersionLedger Ledger;
    PullControl Pulls;
    Watch Read;
  };

  /** How a version reached this node. */
  enum class Origin { Platform, Push, Pull };

  Stream &stream(ItemKind Kind) {
    return this->Streams[static_cast<size_t>(Kind)];
  }

  void onOffer(const Address &From, const OfferMessage &Message, TimePoint Now);
  void onTransfer(const Address &From, const TransferMessage &Message,
                  TimePoint Now);
  void onPull(const Address &From, const PullMessage &Message, TimePoint Now);
  void onAnnouncements(const Address &From, const AnnouncementsMessage &Message,
                       TimePoint Now);

  void takeConfigManifest(const std::string &Text, TimePoint Now);
  void takeVmList(const std::string &Text, TimePoint Now);
  void finishFetch(TimePoint Now);

  /** Where a version comes from. */
  struct Arrival {
    Origin How = Origin::Pull;
    std::string From;

    /** The tree of a push. */
    PushTree Tree;
  };

  void accept(ItemKind Kind, const WholeVersionPtr &Version,
              const Arrival &Came, TimePoint Now);
  void applyVmList(TimePoint Now);
  void useVms();
  void expireLapsed(TimePoint Now);
  void onGoodRead(TimePoint Now);
  void tellChildren(TimePoint Now);

  /** Tells those that would read next how old the last read is. */
  void tellNextReaders(TimePoint Now);

  /** Returns the first nodes of the domains, without this one. */
  std::vector<Address> roots() const;

  /** Returns the nodes that bring versions to the other domains. */
  std::vector<Address> otherHeads() const;

  /** Returns a tree of which this node is the root. */
  PushTree ownTree() const;

  void forward(ItemKind Kind, const Arrival &Came, TimePoint Now);
  void pushDown(ItemKind Kind, const PushTree &Tree, const Address &From,
                TimePoint Now);
  void push(const Address &To, ItemKind Kind, const PushTree &Tree,
            TimePoint Now);
  void offer(const Address &To, ItemKind Kind, TimePoint Now);
  void adopt(const std::vector<OpenPush> &Lost, TimePoint Now);
  void renewSilent(TimePoint Now);
  void
  forwardAnnouncements(const std::vector<MemberAnnouncement> &Announcements,
                       const Address &From);
  bool mergeAnnouncement(const MemberAnnouncement &Announced,
                         const Address &From, TimePoint Now);
  void announceOwn(TimePoint Now);

  void pollBoot(TimePoint Now);
  void pollExactBoot(TimePoint Now);
  bool waitsForSeeds(TimePoint Now) const;
  bool isSeed() const;
  void askSeed(TimePoint Now);
  void noteSeed(const DigestMessage &Message, TimePoint Now);
  void tellOthersThatStart(TimePoint Now);
  int64_t mostTransfers() const;
  void settle(const std::string &Cause, TimePoint Now);
  void pollReads(TimePoint Now);
  void delayRead(Watch &Read, TimePoint Now);
  void startRead(ItemKind Kind, Duration Wait, TimePoint Now);
  void pollDigests(TimePoint Now);
  void pollAsk(TimePoint Now);
  void countOpenWatches(TimePoint Now);
  void askPeers(size_t Inside, size_t Outside, TimePoint Now);
  void compareVersions(const Address &From, const DigestMessage &Message,
                       TimePoint Now);
  DigestMessage digest(DigestPurpose Purpose, TimePoint Now) const;
  void sendDigest(const Address &To, DigestPurpose Purpose, TimePoint Now);

  bool busy(TimePoint Now) const;

  bool holding(TimePoint Now) const { return Now < this->HoldUntil; }

  void audit(AuditKind Kind, ItemKind Item, const VersionId &Version,
             const std::string &From, const std::string &Detail);

  SpreadOptions Options;
  MeshId Mesh;
  VersionCheck Check;
  SpreadPolicyOf PolicyOf;
  SpreadPolicy Tuning;
  std::mt19937_64 Random;
  std::array<Stream, ItemKindCount> Streams;
  LapsedVms Lapsed;
  Topology Nodes;
  Membership Members;
  ReadOrder Readers;
  ReadSchedule Schedule;
  Bootstrap Boot;
  PlatformFetch Fetch;
  PushTracker Pushes;
  SpreadActions Actions;
  TimePoint Started;
  TimePoint NextDigest;
  TimePoint NextAsk;

  /** Counts the questions to seeds. */
  std::optional<uint64_t> SeedTurn;

  /** Time between the last two questions of this start to its seeds. */
  Duration BootAsk{};

  /** When a seed was heard last that has a version, or will have it soon. */
  std::optional<TimePoint> Promise;

  /** This life of the process has read the platform. */
  bool HasRead = false;

  TimePoint HoldUntil;
  TimePoint TransferWindow;
  int64_t TransfersInWindow = 0;
  Address LastServed;
  size_t DigestRound = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_SPREAD_H
