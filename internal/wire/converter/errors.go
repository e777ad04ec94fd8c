package converter

import (
	"errors"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// errorByCode maps the codes on the wire to the root package's errors.
var errorByCode = map[messenger.ErrorCode]error{
	messenger.ErrorCode_ERROR_CODE_NOT_LEADER:      jaygw.ErrNotLeader,
	messenger.ErrorCode_ERROR_CODE_NOT_CURRENT:     jaygw.ErrNotConfirmed,
	messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN: jaygw.ErrOutcomeUnknown,
	messenger.ErrorCode_ERROR_CODE_STOPPED:         jaygw.ErrStopped,
	messenger.ErrorCode_ERROR_CODE_INVALID:         jaygw.ErrInvalidMessage,
	messenger.ErrorCode_ERROR_CODE_WRONG_GROUP:     jaygw.ErrWrongGroup,
}

// ErrorCode returns the code of an error. An error without its own code gets the code of an unknown
// outcome.
func ErrorCode(err error) messenger.ErrorCode {
	if err == nil {
		return messenger.ErrorCode_ERROR_CODE_NONE
	}
	for code, target := range errorByCode {
		if errors.Is(err, target) {
			return code
		}
	}
	return messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN
}

// ErrorFromCode returns the error that a code stands for, or nil if it stands for success. A code that this
// version does not know stands for an unknown outcome.
func ErrorFromCode(code messenger.ErrorCode) error {
	if code == messenger.ErrorCode_ERROR_CODE_NONE {
		return nil
	}
	if err, ok := errorByCode[code]; ok {
		return err
	}
	return jaygw.ErrOutcomeUnknown
}
