package message

import (
	"fmt"
	"net/http"
	"time"

	"portstall/internal/contract"
	"portstall/internal/core"
)

// RefusalHeader tells a client, and whoever reads its logs, why it was refused.
const RefusalHeader = "Portstall-Refusal"

// Refusal puts a final answer that is not Served into HTTP's words: 503 and 500 where the policy gives up; of what contracts
// refuse 429 for the caller's own budget, 503 for the fleet, 403 where no contract lets it in at all. The reason is for
// programs, and empty where the policy gave up.
func Refusal(a core.Answer) (status int, after time.Duration, reason string) {
	switch a.Kind {
	case core.Refused:
		return http.StatusServiceUnavailable, a.RetryAfter, ""
	case core.Failed:
		return http.StatusInternalServerError, 0, ""
	}
	status, after = http.StatusTooManyRequests, a.RetryAfter
	switch a.Rule {
	case contract.Fleet:
		status = http.StatusServiceUnavailable
	case contract.None, contract.Service:
		status, after = http.StatusForbidden, 0
	}
	return status, after, fmt.Sprintf("rule=%s; contract=%q; retry-after-ms=%d", a.Rule, a.Contract, after.Milliseconds())
}
