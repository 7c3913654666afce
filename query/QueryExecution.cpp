#include "query/QueryExecutionImpl.h"

namespace citronplank {

template class QueryExecution<ReplicaStatistics>;

} // namespace citronplank
