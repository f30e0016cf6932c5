package message

import (
	"fmt"
	"net/http"
	"time"

	"portstall/internal/contract"
	"portstall/internal/core"
)

// RefusalHeader is the header of a refusal that states its reason, for clients and for readers of their logs.
const RefusalHeader = "Portstall-Refusal"

// Refusal converts a final response that is not Served to HTTP terms. If the policy gave up, the status is 503 or 500
// and the reason is empty. If a contract refused the request, the reason is machine-readable, and the status is 429
// where the caller's own budget is used up, 503 where the fleet is under pressure and 403 where no contract covers the
// request.
func Refusal(final core.Response) (status int, retryAfter time.Duration, reason string) {
	switch final.Kind {
	case core.Refused:
		return http.StatusServiceUnavailable, final.RetryAfter, ""
	case core.Failed:
		return http.StatusInternalServerError, 0, ""
	}
	status, retryAfter = http.StatusTooManyRequests, final.RetryAfter
	switch final.Rule {
	case contract.Fleet:
		status = http.StatusServiceUnavailable
	case contract.None, contract.Service:
		status, retryAfter = http.StatusForbidden, 0
	}
	return status, retryAfter, fmt.Sprintf("rule=%s; contract=%q; retry-after-ms=%d", final.Rule, final.Contract, retryAfter.Milliseconds())
}
