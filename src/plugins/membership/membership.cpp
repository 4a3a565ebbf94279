#include "membership.h"

#include <algorithm>
#include <tuple>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxNews = 32;

auto orderOf(const MemberWord &Word) {
  return std::tuple(Word.Life, Word.Sequence);
}

} // namespace

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Starting:
    return "starting";
  case MemberState::Serving:
    return "serving";
  case MemberState::Draining:
    return "draining";
  case MemberState::Gone:
    return "gone";
  }
  return "unknown";
}

bool Membership::setOwnState(MemberState State) {
  if (this->OwnWord.State == State)
    return false;
  this->OwnWord.State = State;
  this->OwnWord.Sequence += 1;
  return true;
}

bool Membership::merge(const MemberWord &Word) {
  if (Word.Name == this->OwnWord.Name) {
    if (Word.Life <= this->OwnWord.Life)
      return false;
    this->OwnWord.Life = Incarnation(Word.Life.value() + 1);
    return true;
  }
  const auto [Known, New] = this->Words.emplace(Word.Name, Word);
  if (!New) {
    if (orderOf(Word) <= orderOf(Known->second))
      return false;
    Known->second = Word;
  }
  std::erase(this->News, Word.Name);
  this->News.insert(this->News.begin(), Word.Name);
  if (this->News.size() > MaxNews)
    this->News.pop_back();
  return true;
}

const MemberWord *Membership::find(const VmName &Name) const {
  if (Name == this->OwnWord.Name)
    return &this->OwnWord;
  const auto Found = this->Words.find(Name);
  return Found == this->Words.end() ? nullptr : &Found->second;
}

bool Membership::takesWork(const VmName &Name) const {
  const MemberWord *Word = this->find(Name);
  return Word == nullptr || Word->State == MemberState::Serving;
}

std::vector<MemberWord> Membership::recentNews(size_t Limit) const {
  std::vector<MemberWord> Recent;
  for (const VmName &Name : this->News) {
    if (Recent.size() == Limit)
      break;
    if (const MemberWord *Word = this->find(Name))
      Recent.push_back(*Word);
  }
  return Recent;
}

} // namespace bluebellbarrow
