package converter

import (
	"errors"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

var errorCodes = map[messenger.ErrorCode]error{
	messenger.ErrorCode_ERROR_CODE_NOT_LEADER:      jaygw.ErrNotLeader,
	messenger.ErrorCode_ERROR_CODE_NOT_CURRENT:     jaygw.ErrNotCurrent,
	messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN: jaygw.ErrOutcomeUnknown,
	messenger.ErrorCode_ERROR_CODE_STOPPED:         jaygw.ErrStopped,
	messenger.ErrorCode_ERROR_CODE_INVALID:         jaygw.ErrInvalidMessage,
	messenger.ErrorCode_ERROR_CODE_WRONG_GROUP:     jaygw.ErrWrongGroup,
}

// ErrorCode returns the code of an error. An error without a code of its own is
// one whose outcome is unknown.
func ErrorCode(err error) messenger.ErrorCode {
	if err == nil {
		return messenger.ErrorCode_ERROR_CODE_NONE
	}
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN
}

// ErrorOf returns the error of a code, or nil.
func ErrorOf(code messenger.ErrorCode) error {
	if code == messenger.ErrorCode_ERROR_CODE_NONE {
		return nil
	}
	if err, ok := errorCodes[code]; ok {
		return err
	}
	return jaygw.ErrOutcomeUnknown
}
