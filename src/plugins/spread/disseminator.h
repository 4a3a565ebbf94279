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
#include "rollbackguard.h"
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

/** Identity and start parameters of a node. */
struct DisseminatorOptions {
  std::string Mesh;
  VmName Self;
  FailureDomain Domain;
  IncarnationId Incarnation;

  /** Address of this node. */
  Address Ip;

  /** Nodes queried for the VM list before the platform is read. */
  std::vector<Address> Seeds;

  /**
   * How long all peers must be unresponsive before a starting node accepts
   * versions from the platform; with a monotonic platform, the minimum time
   * before it reads the platform.
   */
  Duration PeerSilenceTimeout = milliseconds(1000);

  /** Seed of the random number generator. */
  uint64_t Seed = 0;

  /**
   * Reads of the platform are monotonic, so that a starting node may accept
   * its versions without querying peers first.
   */
  bool MonotonicPlatform = false;

  /** A full read of the platform takes this node a long time. */
  bool IsSlowReader = false;

  /** Policy in effect until the first version is current. */
  SpreadPolicy InitialPolicy = defaultSpreadPolicy();
};

/**
 * Returns why a version must be refused, or nothing for a valid one. The result
 * must depend on the arguments only.
 */
using VersionValidator =
    std::function<std::optional<Error>(ResourceKind, const FullVersion &)>;

/** Returns the spread policy of a version of the configuration. */
using SpreadPolicyLookup = std::function<SpreadPolicy(const FullVersion &)>;

/**
 * Brings versions from the platform to every node. Decides which nodes read the
 * platform, forwards versions down a tree in each failure domain, repairs
 * missed pushes by digests and pulls, and limits which versions a process may
 * accept after a start or a pause.
 *
 * Performs no I/O: events are passed in with the time, and drainActions()
 * returns the resulting actions. The same events with the same seed give the
 * same actions.
 *
 * Thread safety: none; owned by one task.
 */
class Disseminator {
public:
  Disseminator(DisseminatorOptions Options, VersionValidator Validator,
               SpreadPolicyLookup PolicyLookup, TimePoint Now);

  /** Performs the work that is due; to be called at nextTick(). */
  void onTick(TimePoint Now);

  /** Returns when onTick() is due; any event may make this earlier. */
  TimePoint nextTick(TimePoint Now) const;

  void onDigest(const Address &From, const DigestMessage &Digest,
                TimePoint Now);

  void onMessage(const Address &From, const ControlMessage &Message,
                 TimePoint Now);

  /** Messages to \a To may be lost: its stream closed or its queue is full. */
  void onSendFailed(const Address &To, TimePoint Now);

  /** A read of the platform returned a value. */
  void onPlatformValue(ResourceKind Kind, uint64_t Revision,
                       const std::string &Text, TimePoint Now);

  /** A read of the platform returned no newer value. */
  void onPlatformUnchanged(ResourceKind Kind, TimePoint Now);

  void onPlatformFailed(ResourceKind Kind, TimePoint Now);

  /** A ReadBlob completed; \a Text is null when it returned no value. */
  void onBlob(const Digest &Hash, const std::string *Text, TimePoint Now);

  /**
   * The process did not run for \a Length. Starts a hold-down, in which the
   * outdated state is not acted upon.
   */
  void onPaused(Duration Length, TimePoint Now);

  /** Changes the state of this node and announces it to others at once. */
  void setLocalState(MemberState State, TimePoint Now);

  /** Returns and clears the actions since the last call. */
  DisseminatorActions drainActions();

  const VersionStore &store(ResourceKind Kind) const;

  const VersionTracker &versionTracker(ResourceKind Kind) const;

  /**
   * Returns the VMs in use, those listed and those retained after expiry, and
   * the evacuated domains.
   */
  ListContent listInUse() const {
    return {.Vms = this->Retention.inUse(),
            .EvacuatedDomains = this->EvacuatedDomains};
  }

  /** Returns the failure domains whose targets get no requests; sorted. */
  const std::vector<FailureDomain> &evacuatedDomains() const {
    return this->EvacuatedDomains;
  }

  const Topology &topology() const { return this->Nodes; }

  const Membership &membership() const { return this->Members; }

  const ReadSchedule &readSchedule() const { return this->Schedule; }

  const SpreadPolicy &policy() const { return this->CurrentPolicy; }

  bool isBootstrapped() const { return this->Startup.isComplete(); }

private:
  /** The read of one kind from the platform, a long poll as a rule. */
  struct WatchState {
    bool InFlight = false;
    bool LastSucceeded = false;
    uint64_t Revision = 0;
    TimePoint StartedAt;
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

  /** Audits the VMs that a list of \a Source lacks, once for each change. */
  void auditSkippedVms(const std::vector<Error> &Skipped,
                       const std::string &Source);
  void advanceFetch(TimePoint Now);

  /** Source of a version. */
  struct VersionSource {
    SourceKind Kind = SourceKind::Pull;

    /** Address of the sending node, or "platform". */
    std::string Name;

    /** Tree of a push. */
    PushTree Tree;
  };

  void acceptVersion(ResourceKind Kind, const FullVersionPtr &Version,
                     const VersionSource &Source, TimePoint Now);
  void applyVmList(TimePoint Now);
  void rebuildTopology();
  void expireRetainedVms(TimePoint Now);
  void setEvacuatedDomains(std::vector<FailureDomain> New);
  void onReadSucceeded(TimePoint Now);

  /**
   * Ends the backoff of failed reads, since the platform responds again.
   * Returns false when no kind's last read has failed.
   */
  bool retryFailedReads(TimePoint Now);

  void notifyChildren(TimePoint Now);

  /** Sends the age of the last read to the nodes that would read next. */
  void notifyNextReaders(TimePoint Now);

  /** Returns the first node of each domain, except this node. */
  std::vector<Address> domainRoots() const;

  /** Returns the nodes that receive pushes for the remote domains. */
  std::vector<Address> remoteRelays() const;

  /** Returns a push tree rooted at this node. */
  PushTree makeLocalTree() const;

  void forwardVersion(ResourceKind Kind, const VersionSource &Source,
                      TimePoint Now);
  void pushToChildren(ResourceKind Kind, const PushTree &Tree,
                      const Address &From, TimePoint Now);
  void push(const Address &To, ResourceKind Kind, const PushTree &Tree,
            TimePoint Now);
  void offer(const Address &To, ResourceKind Kind, TimePoint Now);
  void bypassReceivers(const std::vector<PendingPush> &Failed, TimePoint Now);
  void resetUnresponsiveStreams(TimePoint Now);
  void
  forwardAnnouncements(const std::vector<MemberAnnouncement> &Announcements,
                       const Address &From);
  bool mergeAnnouncement(const MemberAnnouncement &Announcement,
                         const Address &From, TimePoint Now);
  void announceLocalState(TimePoint Now);

  void pollBootstrap(TimePoint Now);
  void pollMonotonicBootstrap(TimePoint Now);
  bool shouldWaitForSeeds(TimePoint Now) const;
  bool isSeed() const;
  void querySeed(TimePoint Now);
  void recordIfUseful(const DigestMessage &Digest, TimePoint Now);
  void notifyStartingNodes(TimePoint Now);
  int64_t maxTransfers() const;
  void completeBootstrap(const std::string &Cause, TimePoint Now);
  void pollReads(TimePoint Now);
  void backOffRead(WatchState &Read, TimePoint Now);
  void startRead(ResourceKind Kind, Duration Wait, TimePoint Now);
  void pollDigests(TimePoint Now);
  void pollPeerQueries(TimePoint Now);
  void countOpenWatchesAsReads(TimePoint Now);
  void queryPeers(size_t InDomain, size_t Remote, TimePoint Now);
  void compareVersions(const Address &From, const DigestMessage &Digest,
                       TimePoint Now);
  DigestMessage makeDigest(DigestPurpose Purpose, TimePoint Now) const;
  void sendDigest(const Address &To, DigestPurpose Purpose, TimePoint Now);

  bool hasPendingWork(TimePoint Now) const;

  bool inHoldDown(TimePoint Now) const { return Now < this->HoldDownUntil; }

  void audit(AuditKind Kind, ResourceKind Resource, const VersionId &Version,
             const std::string &Source, const std::string &Detail);

  DisseminatorOptions Options;
  MeshId Mesh;
  VersionValidator Validate;
  SpreadPolicyLookup LookUpPolicy;
  SpreadPolicy CurrentPolicy;
  std::mt19937_64 Random;
  std::array<ResourceState, ResourceKindCount> Resources;
  VmRetention Retention;
  RollbackGuard Rollbacks;

  /** Era of the last VM list; unset before the first one. */
  std::optional<uint64_t> ListEra;

  std::vector<FailureDomain> EvacuatedDomains;
  Topology Nodes;
  Membership Members;
  ReadOrder Order;
  ReadSchedule Schedule;
  Bootstrap Startup;
  PartFetcher Fetcher;
  PushTracker Pushes;
  DisseminatorActions Actions;
  TimePoint StartedAt;
  TimePoint NextDigest;
  TimePoint NextQuery;

  /** Index of the seed to query next, modulo the number of seeds. */
  std::optional<uint64_t> NextSeedIndex;

  /** Current interval between queries to seeds during bootstrap. */
  Duration SeedQueryInterval{};

  /** Time of the last digest of a peer that has a version or will read one. */
  std::optional<TimePoint> LastUsefulDigest;

  /** This incarnation has read the platform successfully. */
  bool HasReadPlatform = false;

  /** Detail of the last VmsSkipped entry by its source; empty for none. */
  std::map<std::string, std::string> AuditedSkips;

  TimePoint HoldDownUntil;
  TimePoint TransferWindowStart;
  int64_t TransfersInWindow = 0;
  Address LastServedPeer;
  size_t DigestCount = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_DISSEMINATOR_H
