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

// retryAfter is the suggested retry delay while a shard has no leader; an election
// takes a few seconds.
const retryAfter = 2 * time.Second

// codeDeadline reports a deadline that can't be met.
const codeDeadline apierror.Code = "deadline_not_feasible"

// toAPIError converts an error to an error response.
func toAPIError(err error) *apierror.Error {
	var api *apierror.Error
	var invalid *input.Error
	var deadline *command.DeadlineError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &invalid):
		return inputError(invalid)
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

func inputError(invalid *input.Error) *apierror.Error {
	param := invalid.Field
	if invalid.Line > 0 {
		param = fmt.Sprintf("line %d", invalid.Line)
		if invalid.Field != "" {
			param += ": " + invalid.Field
		}
	}
	status := http.StatusBadRequest
	if invalid.Code == input.CodeFileTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	return &apierror.Error{
		Status: status, Code: apierror.Code(invalid.Code), Type: apierror.TypeInvalidRequest,
		Param: param, Message: invalid.Error(),
	}
}

func deadlineError(deadline *command.DeadlineError) *apierror.Error {
	return &apierror.Error{
		Status: http.StatusBadRequest, Code: codeDeadline, Type: apierror.TypeInvalidRequest,
		Param: "completion_window", Message: deadline.Error(),
	}
}

// submissionError converts an error of a submission. With an idempotency key, an
// earlier submission may have succeeded, so that neither a lost response nor a
// missing leader shows that the batch did not run; the caller can retry with the
// same key. The status is 504 because 503 would report that the batch didn't run.
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
