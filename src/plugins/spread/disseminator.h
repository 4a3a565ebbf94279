#ifndef BLUEBELLBARROW_SPREAD_DISSEMINATOR_H
#define BLUEBELLBARROW_SPREAD_DISSEMINATOR_H

#include "bootstrap.h"
#include "disseminatoractions.h"
#include "partfetcher.h"
#include "plugins/membership/membership.h"
#include "pullscheduler.h"
#include "pushtracker.h"
#include "readorder.h"
#include "readschedule.h"
#include "topology.h"
#include "tree/policy.h"
#include "versionstore.h"
#include "versiontracker.h"
#include "vmretention.h"

#include <array>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Who a node is and how it starts. */
struct DisseminatorOptions {
  std::string Mesh;
  VmName Self;
  FailureDomain Domain;
  IncarnationId Incarnation;

  /** Address of this node. */
  Address Ip;

  /** Nodes to ask for the VM list before the platform is asked. */
  std::vector<Address> Seeds;

  /** Time for which all peers must be silent before the platform counts. */
  Duration PeerSilenceTimeout = milliseconds(1000);

  /** Seed of the random source. */
  uint64_t Seed = 0;

  /**
   * The platform never shows an older version than before, so that a start
   * may believe it without asking peers first.
   */
  bool MonotonicPlatform = false;

  /** A whole read of the platform takes this node long. */
  bool IsSlowReader = false;

  /** Policy until a version is in force. */
  SpreadPolicy InitialPolicy = defaultSpreadPolicy();
};

/** Returns why a version is bad, or nothing. Must depend on nothing else. */
using VersionValidator =
    std::function<std::optional<Error>(ResourceKind, const FullVersion &)>;

/** Returns the spread policy of a version of the settings. */
using SpreadPolicyLookup = std::function<SpreadPolicy(const FullVersion &)>;

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
class Disseminator {
public:
  Disseminator(DisseminatorOptions Options, VersionValidator Check,
               SpreadPolicyLookup PolicyOf, TimePoint Now);

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
  void onPlatformValue(ResourceKind Kind, uint64_t Revision,
                       const std::string &Text, TimePoint Now);

  /** The platform answered that nothing has changed. */
  void onPlatformUnchanged(ResourceKind Kind, TimePoint Now);

  void onPlatformFailed(ResourceKind Kind, TimePoint Now);

  /** The platform answered a ReadPart; null when it had no such value. */
  void onBlob(const Digest &Hash, const std::string *Text, TimePoint Now);

  /** The process did not run for a while and must not act on what it knew. */
  void onPaused(Duration Length, TimePoint Now);

  /** Changes what this node says of itself, and tells others at once. */
  void setLocalState(MemberState State, TimePoint Now);

  /** Returns and forgets the actions since the last call. */
  DisseminatorActions drainActions();

  const VersionStore &store(ResourceKind Kind) const;

  const VersionTracker &versionTracker(ResourceKind Kind) const;

  /** Returns the VMs in use: those listed, and those that lapsed just now. */
  std::vector<Vm> vmsInUse() const { return this->Retention.inUse(); }

  const Topology &topology() const { return this->Nodes; }

  const Membership &membership() const { return this->Members; }

  const ReadSchedule &readSchedule() const { return this->Schedule; }

  const SpreadPolicy &policy() const { return this->CurrentPolicy; }

  bool isBootstrapped() const { return this->Startup.isComplete(); }

private:
  struct WatchState {
    bool InFlight = false;
    bool LastSucceeded = false;
    uint64_t Revision = 0;
    TimePoint Started;
    TimePoint NotBefore;
    Duration LongPollTimeout{};
    int Failures = 0;
  };

  struct ResourceState {
    explicit ResourceState(ResourceKind Kind, uint64_t Seed)
        : Store(Kind), Pulls(Kind, Seed) {}

    VersionStore Store;
    VersionTracker Tracker;
    PullScheduler Pulls;
    WatchState Watch;
  };

  /** How a version reached this node. */
  enum class SourceKind { Platform, Push, Pull };

  ResourceState &resource(ResourceKind Kind) {
    return this->Resources[static_cast<size_t>(Kind)];
  }

  void onOffer(const Address &From, const OfferMessage &Message, TimePoint Now);
  void onTransfer(const Address &From, const TransferMessage &Message,
                  TimePoint Now);
  void onPull(const Address &From, const PullMessage &Message, TimePoint Now);
  void onAnnouncements(const Address &From, const AnnouncementsMessage &Message,
                       TimePoint Now);

  void onConfigManifest(const std::string &Text, TimePoint Now);
  void onVmList(const std::string &Text, TimePoint Now);
  void advanceFetch(TimePoint Now);

  /** Where a version comes from. */
  struct VersionSource {
    SourceKind Kind = SourceKind::Pull;
    std::string From;

    /** The tree of a push. */
    PushTree Tree;
  };

  void acceptVersion(ResourceKind Kind, const FullVersionPtr &Version,
                     const VersionSource &Came, TimePoint Now);
  void applyVmList(TimePoint Now);
  void rebuildTopology();
  void expireRetainedVms(TimePoint Now);
  void onReadSucceeded(TimePoint Now);
  void notifyChildren(TimePoint Now);

  /** Tells those that would read next how old the last read is. */
  void notifyNextReaders(TimePoint Now);

  /** Returns the first nodes of the domains, without this one. */
  std::vector<Address> domainRoots() const;

  /** Returns the nodes that bring versions to the other domains. */
  std::vector<Address> remoteRelays() const;

  /** Returns a tree of which this node is the root. */
  PushTree makeLocalTree() const;

  void forwardVersion(ResourceKind Kind, const VersionSource &Came,
                      TimePoint Now);
  void pushToChildren(ResourceKind Kind, const PushTree &Tree,
                      const Address &From, TimePoint Now);
  void push(const Address &To, ResourceKind Kind, const PushTree &Tree,
            TimePoint Now);
  void offer(const Address &To, ResourceKind Kind, TimePoint Now);
  void bypassReceivers(const std::vector<PendingPush> &Lost, TimePoint Now);
  void resetUnresponsiveStreams(TimePoint Now);
  void
  forwardAnnouncements(const std::vector<MemberAnnouncement> &Announcements,
                       const Address &From);
  bool mergeAnnouncement(const MemberAnnouncement &Announced,
                         const Address &From, TimePoint Now);
  void announceLocalState(TimePoint Now);

  void pollBootstrap(TimePoint Now);
  void pollMonotonicBootstrap(TimePoint Now);
  bool shouldWaitForSeeds(TimePoint Now) const;
  bool isSeed() const;
  void querySeed(TimePoint Now);
  void recordSeedResponse(const DigestMessage &Message, TimePoint Now);
  void notifyStartingNodes(TimePoint Now);
  int64_t maxTransfers() const;
  void completeBootstrap(const std::string &Cause, TimePoint Now);
  void pollReads(TimePoint Now);
  void backOffRead(WatchState &Read, TimePoint Now);
  void startRead(ResourceKind Kind, Duration Wait, TimePoint Now);
  void pollDigests(TimePoint Now);
  void pollPeerQueries(TimePoint Now);
  void countOpenWatchesAsReads(TimePoint Now);
  void queryPeers(size_t Inside, size_t Outside, TimePoint Now);
  void compareVersions(const Address &From, const DigestMessage &Message,
                       TimePoint Now);
  DigestMessage makeDigest(DigestPurpose Purpose, TimePoint Now) const;
  void sendDigest(const Address &To, DigestPurpose Purpose, TimePoint Now);

  bool hasPendingWork(TimePoint Now) const;

  bool inHoldDown(TimePoint Now) const { return Now < this->HoldDownUntil; }

  void audit(AuditKind Kind, ResourceKind Item, const VersionId &Version,
             const std::string &From, const std::string &Detail);

  DisseminatorOptions Options;
  MeshId Mesh;
  VersionValidator Validate;
  SpreadPolicyLookup LookUpPolicy;
  SpreadPolicy CurrentPolicy;
  std::mt19937_64 Random;
  std::array<ResourceState, ResourceKindCount> Resources;
  VmRetention Retention;
  Topology Nodes;
  Membership Members;
  ReadOrder Order;
  ReadSchedule Schedule;
  Bootstrap Startup;
  PartFetcher Fetcher;
  PushTracker Pushes;
  DisseminatorActions Actions;
  TimePoint Started;
  TimePoint NextDigest;
  TimePoint NextQuery;

  /** Counts the questions to seeds. */
  std::optional<uint64_t> NextSeedIndex;

  /** Time between the last two questions of this start to its seeds. */
  Duration SeedQueryInterval{};

  /** When a seed was heard last that has a version, or will have it soon. */
  std::optional<TimePoint> LastSeedResponse;

  /** This life of the process has read the platform. */
  bool HasReadPlatform = false;

  TimePoint HoldDownUntil;
  TimePoint TransferWindowStart;
  int64_t TransfersInWindow = 0;
  Address LastServedPeer;
  size_t DigestCount = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_DISSEMINATOR_H
