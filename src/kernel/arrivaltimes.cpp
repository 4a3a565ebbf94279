#include "arrivaltimes.h"

namespace bluebellbarrow {

void ArrivalTimes::record(size_t Bytes, TimePoint Now) {
  this->TotalBytes += Bytes;
  if (!this->Chunks.empty() && Now - this->Chunks.back().ReceivedAt < ChunkTime)
    this->Chunks.back().Bytes += Bytes;
  else
    this->Chunks.push_back({.Bytes = Bytes, .ReceivedAt = Now});
}

void ArrivalTimes::keepLast(size_t Bytes) {
  while (!this->Chunks.empty() &&
         this->TotalBytes - this->Chunks.front().Bytes >= Bytes) {
    this->TotalBytes -= this->Chunks.front().Bytes;
    this->Chunks.pop_front();
  }
}

} // namespace bluebellbarrow
