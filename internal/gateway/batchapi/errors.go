package batchapi

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/ledger"
)

// retryAfter is when a caller may come back while a shard has no leader: a
// new one is there within a few seconds.
const retryAfter = 2 * time.Second

// codeDeadline says that a deadline can't be met.
const codeDeadline apierror.Code = "deadline_not_feasible"

// shown turns an error into what the caller sees.
func shown(err error) *apierror.Error {
	var api *apierror.Error
	var fault *input.Error
	var deadline *command.DeadlineError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &fault):
		return faultError(fault)
	case errors.As(err, &tooLarge):
		return apierror.BodyTooLarge(tooLarge.Limit)
	case errors.As(err, &deadline):
		return deadlineError(deadline)
	case errors.Is(err, command.ErrConflict):
		return apierror.Conflict("Idempotency-Key", "this Idempotency-Key was used with another body")
	case errors.Is(err, command.ErrNotFound), errors.Is(err, query.ErrNotFound):
		return apierror.NotFound("no such file or batch")
	case errors.Is(err, ledger.ErrUnavailable):
		unavailable := apierror.NotRun(http.StatusServiceUnavailable, retryAfter, "the ledger can't take this now")
		unavailable.Cause = err
		return unavailable
	default:
		return apierror.From(err)
	}
}

func faultError(fault *input.Error) *apierror.Error {
	param := fault.Field
	if fault.Line > 0 {
		param = fmt.Sprintf("line %d", fault.Line)
		if fault.Field != "" {
			param += ": " + fault.Field
		}
	}
	status := http.StatusBadRequest
	if fault.Code == input.CodeFileTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	return &apierror.Error{
		Status: status, Code: apierror.Code(fault.Code), Type: apierror.TypeInvalidRequest,
		Param: param, Message: fault.Error(),
	}
}

func deadlineError(deadline *command.DeadlineError) *apierror.Error {
	return &apierror.Error{
		Status: http.StatusBadRequest, Code: codeDeadline, Type: apierror.TypeInvalidRequest,
		Param: "completion_window", Message: deadline.Error(),
	}
}

// submissionError makes the error of a submission. A caller that gave a key
// may have submitted before, so that neither a lost answer nor a missing
// leader shows that the batch did not run; it can ask again with the same key. The status
// is one that promises nothing: 503 would say that the batch never runs.
func submissionError(err error, keyed bool) error {
	unavailable := errors.Is(err, ledger.ErrUnavailable)
	if !unavailable && !errors.Is(err, ledger.ErrUnknownOutcome) {
		return err
	}
	if !keyed && unavailable {
		return err
	}
	message := "it is not known whether the batch was accepted; look for it in the list of batches"
	if keyed {
		message = "it is not known whether the batch was accepted; send it again with the same Idempotency-Key"
	}
	unknown := &apierror.Error{
		Status: http.StatusGatewayTimeout, Code: apierror.CodeOutcomeUnknown, Type: apierror.TypeServer,
		Message: message, NoRetry: !keyed, Cause: err,
	}
	if keyed {
		unknown.RetryAfter = retryAfter
	}
	return unknown
}
