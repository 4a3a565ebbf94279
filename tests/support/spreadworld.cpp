#include "spreadworld.h"

#include "kernel/hashing.h"
#include "plugins/spread/versioncompiler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace bluebellbarrow {

namespace {

constexpr Duration LinkDelay = milliseconds(1);
constexpr Duration PlatformDelay = milliseconds(2);
constexpr Duration SlowReadLimit = milliseconds(600);
constexpr Duration ExactBootSilence = milliseconds(60);
constexpr size_t SeedCount = 3;
constexpr Duration PauseLimit = milliseconds(1000);

const std::string ManifestName = "manifest";
const std::string VmListName = "vms";

uint64_t toNumber(const std::string &Text) { return std::stoull(Text); }

std::string stamp(TimePoint Time) {
  const int64_t Millis = toMilliseconds(Time - TimePoint(seconds(1000)));
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%4lld.%03lld",
                static_cast<long long>(Millis / 1000),
                static_cast<long long>(Millis % 1000));
  return Buffer;
}

} // namespace

std::string SpreadWorld::replay(const std::string &Text) {
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Stream(Line.substr(0, Line.find('#')));
    std::vector<std::string> Words;
    for (std::string Word; Stream >> Word;)
      Words.push_back(Word);
    if (!Words.empty())
      this->execute(Words);
  }
  this->line("reads of the platform: " + std::to_string(this->Reads));
  return this->Session;
}

void SpreadWorld::line(const std::string &Text) {
  this->Session += stamp(this->Now) + " " + Text + "\n";
}

void SpreadWorld::fail(const std::string &Text) {
  this->Failures.push_back(stamp(this->Now) + " " + Text);
  this->line("FAILED " + Text);
}

std::vector<SpreadWorld::Node *> SpreadWorld::chosen(const std::string &Name) {
  std::vector<Node *> Found;
  for (auto &[Key, Each] : this->Nodes)
    if (Name == "all" || Name == Key || Name == Each.Listed.Domain.str())
      Found.push_back(&Each);
  return Found;
}

void SpreadWorld::execute(const std::vector<std::string> &Words) {
  const std::string &Verb = Words[0];
  if (Verb != "node" && Verb != "run" && Verb != "expect") {
    std::string Text = "--";
    for (const std::string &Word : Words)
      Text += " " + Word;
    this->line(Text);
  }
  if (Verb == "run")
    this->run(milliseconds(toNumber(Words[1])));
  else if (Verb == "expect")
    this->expect(Words);
  else if (!this->executeSetup(Words) && !this->executeNode(Words) &&
           !this->executeLink(Words))
    this->executePlatform(Words);
}

bool SpreadWorld::executeSetup(const std::vector<std::string> &Words) {
  const std::string &Verb = Words[0];
  if (Verb == "exact") {
    this->Exact = true;
  } else if (Verb == "profile") {
    this->Profile.clear();
    for (size_t Index = 1; Index + 1 < Words.size(); Index += 2)
      this->Profile += Words[Index] + " = " + Words[Index + 1] + "\n";
  } else if (Verb == "node") {
    const std::string Ip = "10.0.0." + std::to_string(this->Nodes.size() + 1);
    this->Nodes[Words[1]].Listed = {.Name = VmName(Words[1]),
                                    .Ip = Address(Ip),
                                    .Domain = FailureDomain(Words[2]),
                                    .Service = ServiceName("s")};
  } else {
    return false;
  }
  return true;
}

bool SpreadWorld::executeNode(const std::vector<std::string> &Words) {
  using Step = void (SpreadWorld::*)(Node &);
  static const std::map<std::string, Step> Steps = {
      {"slow", &SpreadWorld::slowDown},
      {"quick", &SpreadWorld::speedUp},
      {"start", &SpreadWorld::startLater},
      {"start-clock-back", &SpreadWorld::startEarlier},
      {"kill", &SpreadWorld::kill},
      {"drain", &SpreadWorld::drain},
      {"freeze", &SpreadWorld::freeze},
      {"thaw", &SpreadWorld::thaw}};
  const auto Found = Steps.find(Words[0]);
  if (Found == Steps.end())
    return false;
  for (Node *Each : this->chosen(Words[1]))
    (this->*Found->second)(*Each);
  return true;
}

void SpreadWorld::slowDown(Node &Target) {
  this->Slow.insert(Target.Listed.Name.str());
}

void SpreadWorld::speedUp(Node &Target) {
  this->Slow.erase(Target.Listed.Name.str());
}

void SpreadWorld::startLater(Node &Target) { this->start(Target, false); }

void SpreadWorld::startEarlier(Node &Target) { this->start(Target, true); }

void SpreadWorld::kill(Node &Target) { Target.Decisions.reset(); }

void SpreadWorld::drain(Node &Target) {
  Target.Decisions->setOwnState(MemberState::Draining, this->Now);
  this->carryOut(Target);
}

void SpreadWorld::freeze(Node &Target) { Target.Frozen = true; }

void SpreadWorld::thaw(Node &Target) {
  Target.Frozen = false;
  while (!Target.Held.empty()) {
    const auto Work = std::move(Target.Held.front());
    Target.Held.pop_front();
    Work();
  }
}

bool SpreadWorld::executeLink(const std::vector<std::string> &Words) {
  const std::string &Verb = Words[0];
  if (Verb == "mute") {
    for (const Node *Each : this->chosen(Words[1]))
      for (const auto &[Name, Other] : this->Nodes) {
        this->Muted.insert({Each->Listed.Name.str(), Name});
        this->Muted.insert({Name, Each->Listed.Name.str()});
      }
  } else if (Verb == "cut" || Verb == "cut-one-way") {
    for (const Node *From : this->chosen(Words[1]))
      for (const Node *To : this->chosen(Words[2])) {
        this->Cuts.insert({From->Listed.Name.str(), To->Listed.Name.str()});
        if (Verb == "cut")
          this->Cuts.insert({To->Listed.Name.str(), From->Listed.Name.str()});
      }
  } else if (Verb == "heal") {
    this->Cuts.clear();
  } else {
    return false;
  }
  return true;
}

void SpreadWorld::executePlatform(const std::vector<std::string> &Words) {
  const std::string &Verb = Words[0];
  if (Verb == "publish") {
    this->publish(toNumber(Words[1]), Words.size() > 2 ? Words[2] : "good",
                  Words.size() > 3 ? Words[3] : "");
  } else if (Verb == "release") {
    for (const auto &[Name, Text] : this->HeldValues)
      this->Fresh.Values[Name] = {Text, ++this->Revision};
  } else if (Verb == "vmlist") {
    this->Unlisted = {Words.begin() + 1, Words.end()};
    this->publishVmList();
  } else if (Verb == "refuse" || Verb == "refuse-quietly") {
    this->RefusesQuietly = Verb == "refuse-quietly";
    for (const Node *Each : this->chosen(Words[1]))
      this->Refused.insert(Each->Listed.Name.str());
  } else if (Verb == "serve") {
    for (const Node *Each : this->chosen(Words[1]))
      this->Refused.erase(Each->Listed.Name.str());
  } else if (Verb == "platform") {
    if (Words[1] == "stale" || Words[1] == "alternate")
      this->Old = this->Fresh;
    this->Down = Words[1] == "down";
    this->Stale = Words[1] == "stale";
    this->Alternate = Words[1] == "alternate";
    for (Watch &Each : this->Watches)
      Each.Stale = this->Stale;
    if (this->Down) {
      for (const Watch &Each : this->Watches)
        this->toNode(Each.Node, Each.Life, PlatformDelay,
                     [this, Kind = Each.Kind](Node &To) {
                       To.Decisions->onPlatformFailed(Kind, this->Now);
                     });
      this->Watches.clear();
    }
  } else {
    this->fail("unknown command " + Verb);
  }
  this->pollWatches();
}

std::string SpreadWorld::numberOf(const Node &Of) const {
  const VersionId &Version = Of.Decisions->ledger(ItemKind::Config).inForce();
  return std::to_string(Version.Number.value());
}

void SpreadWorld::expect(const std::vector<std::string> &Words) {
  std::set<std::string> Versions;
  for (Node *Each : this->chosen(Words[2])) {
    if (Each->Decisions == nullptr)
      continue;
    const VersionLedger &Ledger = Each->Decisions->ledger(ItemKind::Config);
    const std::string Name = Each->Listed.Name.str();
    Versions.insert(Ledger.inForce().text());
    if (Words[1] == "version" && this->numberOf(*Each) != Words[3])
      this->fail(Name + " has version " + Ledger.inForce().text() +
                 ", expected " + Words[3]);
    if (Words[1] == "refused" && Ledger.refused().size() != toNumber(Words[3]))
      this->fail(Name + " has refused " +
                 std::to_string(Ledger.refused().size()) + " versions");
    if (Words[1] == "uses" || Words[1] == "uses-not") {
      const bool Uses =
          Each->Decisions->topology().findByName(VmName(Words[3])) != nullptr;
      if (Uses != (Words[1] == "uses"))
        this->fail(Name + (Uses ? " uses " : " does not use ") + Words[3]);
    }
    if (Words[1] == "takes-work") {
      const bool Takes =
          Each->Decisions->membership().takesWork(VmName(Words[3]));
      if (Takes != (Words[4] == "yes"))
        this->fail(Name + " thinks otherwise of " + Words[3]);
    }
  }
  if (Words[1] == "same" && Versions.size() > 1)
    this->fail("nodes differ in their version");
  if (Words[1] == "reads-below" && this->Reads >= toNumber(Words[2]))
    this->fail("the platform was read " + std::to_string(this->Reads) +
               " times");
}

void SpreadWorld::start(Node &Target, bool ClockBack) {
  const uint64_t Before = Target.Life;
  Target.Life = ++this->LastLife;
  Target.Held.clear();
  Target.Frozen = false;
  Target.Applied = VersionId();
  Target.LastTick = this->Now;
  Target.NextTick = this->Now;
  const FailureDomain Domain = Target.Listed.Domain;
  const auto Compiler = std::make_shared<VersionCompiler>();
  Target.Decisions = std::make_unique<Spread>(
      SpreadOptions{
          .Mesh = "m",
          .Self = Target.Listed.Name,
          .Domain = Domain,
          .Life = Incarnation(ClockBack ? Before - 1 : Target.Life),
          .Ip = Target.Listed.Ip,
          .Seeds = this->Exact ? this->seeds() : std::vector<Address>(),
          .BootSilence =
              this->Exact ? ExactBootSilence : SpreadOptions().BootSilence,
          .Seed = Target.Life * 100,
          .ExactPlatform = this->Exact,
          .ReadsSlowly = this->Slow.contains(Target.Listed.Name.str()),
          .FirstPolicy =
              this->Exact ? this->firstPolicy() : SpreadOptions().FirstPolicy},
      [Compiler](ItemKind Kind, const WholeVersion &Version) {
        return Compiler->check(Kind, Version);
      },
      [Compiler, Domain](const WholeVersion &Config) {
        return Compiler->spreadPolicy(Config, Domain);
      },
      this->Now);
  Target.Decisions->setOwnState(MemberState::Serving, this->Now);
  const std::string Name = Target.Listed.Name.str();
  this->toNode(Name, Target.Life, Duration::zero(),
               [this](Node &Node) { this->tick(Node); });
}

std::vector<Address> SpreadWorld::seeds() const {
  std::vector<Address> Seeds;
  for (const auto &[Name, Each] : this->Nodes)
    if (Seeds.size() < SeedCount)
      Seeds.push_back(Each.Listed.Ip);
  return Seeds;
}

SpreadPolicy SpreadWorld::firstPolicy() const {
  const auto Tree = SettingsTree::build(
      {{"mesh", std::make_shared<const Branch>(
                    parseBranch("mesh", "[mesh]\nname = m\n[spread]\n" +
                                            this->Profile + "\n")
                        .value())}});
  return Tree.value()->spreadPolicy(FailureDomain("any"), SpreadPolicy());
}

void SpreadWorld::publish(uint64_t Number, const std::string &What,
                          const std::string &Hold) {
  Catalog Of{.Mesh = "m", .Number = VersionNumber(Number)};
  PartsByDigest Parts;
  addPart(Of, Parts, "mesh",
          "[mesh]\nname = m\n[spread]\n" + this->Profile + "\n");
  const std::string Bad = What.rfind("bad", 0) == 0 ? "nonsense = 1\n" : "";
  addPart(Of, Parts, "service/s",
          "[service]\nabout = " + What + " " + std::to_string(Number) + "\n" +
              Bad);
  for (const auto &[Hash, Text] : Parts) {
    if (Hold == "held")
      this->HeldValues[Hash.str()] = *Text;
    else
      this->Fresh.Values[Hash.str()] = {Hold == "corrupt" ? *Text + "x" : *Text,
                                        ++this->Revision};
    if (Hold == "corrupt")
      this->HeldValues[Hash.str()] = *Text;
  }
  this->Fresh.Values[ManifestName] = {toManifest(Of), ++this->Revision};
}

void SpreadWorld::publishVmList() {
  nlohmann::json Vms = nlohmann::json::array();
  for (const auto &[Name, Each] : this->Nodes) {
    if (this->Unlisted.contains(Name))
      continue;
    Vms.push_back({{"name", Name},
                   {"address", Each.Listed.Ip.str()},
                   {"domain", Each.Listed.Domain.str()},
                   {"service", "s"},
                   {"state", "live"}});
  }
  const uint64_t Number = ++this->Revision;
  this->Fresh.Values[VmListName] = {
      nlohmann::json{{"revision", Number}, {"vms", Vms}}.dump(), Number};
}

void SpreadWorld::at(TimePoint When, std::function<void()> Work) {
  this->Queue.emplace(When, std::move(Work));
}

void SpreadWorld::run(Duration Length) {
  const TimePoint End = this->Now + Length;
  while (!this->Queue.empty() && this->Queue.begin()->first <= End) {
    const auto Next = this->Queue.begin();
    this->Now = std::max(this->Now, Next->first);
    const auto Work = std::move(Next->second);
    this->Queue.erase(Next);
    Work();
  }
  this->Now = End;
}

void SpreadWorld::toNode(const std::string &Name, uint64_t Life, Duration Delay,
                         std::function<void(Node &)> Work) {
  this->at(this->Now + Delay, [this, Name, Life, Work = std::move(Work)] {
    const auto Call = [this, Name, Life, Work] {
      Node &Target = this->Nodes.at(Name);
      if (Target.Decisions == nullptr || Target.Life != Life)
        return;
      Work(Target);
      this->carryOut(Target);
    };
    Node &Target = this->Nodes.at(Name);
    if (Target.Frozen)
      Target.Held.push_back(Call);
    else
      Call();
  });
}

void SpreadWorld::hastenTick(Node &Target) {
  if (Target.Decisions == nullptr)
    return;
  const TimePoint Due = Target.Decisions->nextTick(this->Now);
  if (Target.NextTick > this->Now && Target.NextTick <= Due)
    return;
  Target.NextTick = Due;
  this->toNode(Target.Listed.Name.str(), Target.Life, Due - this->Now,
               [this](Node &Node) { this->tick(Node); });
}

void SpreadWorld::tick(Node &Target) {
  // An earlier tick has taken the place of this one.
  if (this->Now < Target.NextTick)
    return;
  Target.NextTick = this->Now;
  const Duration Since = this->Now - Target.LastTick;
  Target.LastTick = this->Now;
  if (Since >= PauseLimit)
    Target.Decisions->onPaused(Since, this->Now);
  Target.Decisions->onTick(this->Now);
  this->pollWatches();
}

void SpreadWorld::carryOut(Node &Source) {
  for (SpreadActions Actions = Source.Decisions->takeActions();
       !Actions.empty(); Actions = Source.Decisions->takeActions())
    for (const SpreadAction &Each : Actions)
      this->act(Source, Each);
  this->hastenTick(Source);
}

SpreadWorld::Node *SpreadWorld::byAddress(const Address &Ip) {
  for (auto &[Name, Each] : this->Nodes)
    if (Each.Listed.Ip == Ip)
      return &Each;
  return nullptr;
}

bool SpreadWorld::linked(const std::string &From, const std::string &To) const {
  return !this->Cuts.contains({From, To});
}

bool SpreadWorld::streams(const std::string &From, const Node &To) const {
  const std::string Name = To.Listed.Name.str();
  return this->linked(Name, From) && !this->Muted.contains({From, Name});
}

void SpreadWorld::sendFrom(
    Node &Source, const Address &To,
    const std::function<void(Node &, const Address &)> &Deliver,
    bool Reliable) {
  Node *Target = this->byAddress(To);
  const std::string From = Source.Listed.Name.str();
  const bool Alive = Target != nullptr && Target->Decisions != nullptr;
  const bool Open = Alive && this->linked(From, Target->Listed.Name.str()) &&
                    (!Reliable || this->streams(From, *Target));
  if (Open) {
    this->toNode(
        Target->Listed.Name.str(), Target->Life, LinkDelay,
        [Deliver, Ip = Source.Listed.Ip](Node &Node) { Deliver(Node, Ip); });
    return;
  }
  // A dead process refuses at once; a cut link says nothing.
  if (Reliable && !Alive)
    this->toNode(From, Source.Life, LinkDelay, [this, To](Node &Node) {
      Node.Decisions->onSendFailed(To, this->Now);
    });
}

void SpreadWorld::act(Node &Source, const SpreadAction &Action) {
  if (const auto *Digest = std::get_if<SendDigest>(&Action)) {
    this->sendFrom(
        Source, Digest->To,
        [this, Message = Digest->Message](Node &To, const Address &From) {
          To.Decisions->onDigest(From, Message, this->Now);
        },
        false);
  } else if (const auto *Control = std::get_if<SendControl>(&Action)) {
    this->sendFrom(
        Source, Control->To,
        [this, Message = Control->Message](Node &To, const Address &From) {
          To.Decisions->onMessage(From, Message, this->Now);
        },
        true);
  } else if (const auto *Renewed = std::get_if<RenewLink>(&Action)) {
    const Node *To = this->byAddress(Renewed->To);
    if (To == nullptr)
      return;
    // Both sides use the stream that is opened next.
    const std::string From = Source.Listed.Name.str();
    this->Muted.erase({From, To->Listed.Name.str()});
    this->Muted.erase({To->Listed.Name.str(), From});
  } else if (const auto *Read = std::get_if<ReadPlatform>(&Action)) {
    this->Reads += 1;
    this->Turn = !this->Turn;
    const bool UsesOld = this->Stale || (this->Alternate && this->Turn);
    this->answerRead({.Node = Source.Listed.Name.str(),
                      .Life = Source.Life,
                      .Kind = Read->Kind,
                      .ChangedSince = Read->ChangedSince,
                      .Until = this->Now + Read->Wait,
                      .Stale = UsesOld},
                     Read->Wait == Duration::zero());
  } else if (const auto *Part = std::get_if<ReadPart>(&Action)) {
    this->Reads += 1;
    const auto Found = this->Fresh.Values.find(Part->Hash.str());
    const bool Has = !this->Down && Found != this->Fresh.Values.end();
    this->toNode(Source.Listed.Name.str(), Source.Life, PlatformDelay,
                 [this, Hash = Part->Hash, Has,
                  Text = Has ? Found->second.Text : ""](Node &To) {
                   To.Decisions->onPart(Hash, Has ? &Text : nullptr, this->Now);
                 });
  } else if (const auto *Event = std::get_if<AuditEvent>(&Action)) {
    this->note(Source, *Event);
  }
}

void SpreadWorld::note(const Node &Of, const AuditEvent &Event) {
  if (Event.Item == ItemKind::VmList)
    return;
  Node &Target = this->Nodes.at(Of.Listed.Name.str());
  if (Event.Kind == AuditKind::Applied) {
    if (Event.Version <= Target.Applied)
      this->fail(Of.Listed.Name.str() + " went back to " +
                 Event.Version.text());
    Target.Applied = Event.Version;
  }
  std::string From = Event.From;
  if (const Node *Peer = this->byAddress(Address(From)))
    From = Peer->Listed.Name.str();
  this->line(Of.Listed.Name.str() + " " + auditKindName(Event.Kind) + " " +
             Event.Version.text() + " from " + From +
             (Event.Detail.empty() ? "" : ": " + Event.Detail));
}

void SpreadWorld::answerRead(const Watch &Read, bool Final) {
  const auto Answer = [this, &Read](std::function<void(Node &)> Work) {
    this->toNode(Read.Node, Read.Life, PlatformDelay, std::move(Work));
  };
  const bool Refuses = this->Refused.contains(Read.Node);
  if (this->Slow.contains(Read.Node)) {
    this->toNode(Read.Node, Read.Life, SlowReadLimit,
                 [this, Kind = Read.Kind](Node &To) {
                   To.Decisions->onPlatformFailed(Kind, this->Now);
                 });
    return;
  }
  const bool EndsQuietly = Refuses && this->RefusesQuietly && Read.Waited;
  if (this->Down || (Refuses && !EndsQuietly)) {
    Answer([this, Kind = Read.Kind](Node &To) {
      To.Decisions->onPlatformFailed(Kind, this->Now);
    });
    return;
  }
  const Replica &From = Read.Stale ? this->Old : this->Fresh;
  const auto Found = From.Values.find(
      Read.Kind == ItemKind::Config ? ManifestName : VmListName);
  if (!EndsQuietly && Found != From.Values.end() &&
      Found->second.Revision > Read.ChangedSince) {
    Answer([this, Kind = Read.Kind, Shown = Found->second](Node &To) {
      To.Decisions->onPlatformValue(Kind, Shown.Revision, Shown.Text,
                                    this->Now);
    });
    return;
  }
  if (!Final) {
    this->Watches.push_back(Read);
    this->Watches.back().Waited = true;
    return;
  }
  Answer([this, Kind = Read.Kind](Node &To) {
    To.Decisions->onPlatformUnchanged(Kind, this->Now);
  });
}

void SpreadWorld::pollWatches() {
  std::vector<Watch> Waiting;
  Waiting.swap(this->Watches);
  for (const Watch &Each : Waiting)
    this->answerRead(Each, this->Now >= Each.Until);
}

} // namespace bluebellbarrow
