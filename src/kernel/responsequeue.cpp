#include "responsequeue.h"

#include <algorithm>

namespace bluebellbarrow {

void ResponseQueue::add(QueuedResponse Request) {
  this->BufferedBytes += Request.RequestBytes;
  this->Requests.push_back(std::move(Request));
}

void ResponseQueue::setResponse(ExchangeId Exchange, HttpResponse Response) {
  const auto Found = std::find_if(this->Requests.begin(), this->Requests.end(),
                                  [Exchange](const QueuedResponse &Request) {
                                    return Request.Exchange == Exchange;
                                  });
  if (Found == this->Requests.end())
    return;
  this->BufferedBytes -= Found->RequestBytes;
  this->BufferedBytes += Response.Body.size();
  Found->RequestBytes = 0;
  Found->Response = std::move(Response);
}

std::optional<QueuedResponse> ResponseQueue::takeNext() {
  if (this->Requests.empty() || !this->Requests.front().Response)
    return std::nullopt;
  QueuedResponse Next = std::move(this->Requests.front());
  this->Requests.pop_front();
  this->BufferedBytes -= Next.Response->Body.size();
  return Next;
}

std::vector<ExchangeId> ResponseQueue::unanswered() const {
  std::vector<ExchangeId> Ids;
  for (const QueuedResponse &Request : this->Requests)
    if (!Request.Response)
      Ids.push_back(Request.Exchange);
  return Ids;
}

} // namespace bluebellbarrow
