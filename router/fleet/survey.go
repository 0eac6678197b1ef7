package fleet

import (
	"context"

	"maststage.dev/router/prepaid"
)

// surveyResponse is what a host could lend.
type surveyResponse struct {
	Lends bool `json:"lends,omitempty"` // it would lend the tokens asked for
	Log   bool `json:"log,omitempty"`   // the log responds to it
	Spent bool `json:"spent,omitempty"` // the log has too few tokens
}

// answerSurvey answers another host's survey.
func (f *Fleet) answerSurvey(request lendRequest) lendResponse {
	if f.opts.AnswerSurvey == nil {
		return lendResponse{}
	}
	answer := f.opts.AnswerSurvey(prepaid.Survey{Organisation: request.Organisation, Tokens: request.Survey})
	return lendResponse{Keeper: answer.Keeper, Free: answer.Free, Survey: &surveyResponse{Lends: answer.Lends, Log: answer.Log, Spent: answer.Spent}}
}

// Survey asks the hosts that Borrow would ask what they could lend, all at once. A survey makes at most maxLenders
// calls, and no more surveys are made than requests are refused, so that a fleet of any size makes fewer calls for
// them than it would if each request borrowed in vain.
func (f *Fleet) Survey(ctx context.Context, survey prepaid.Survey) prepaid.SurveyResult {
	addresses := f.lenders(survey.Organisation)
	if addresses == nil {
		addresses = f.addresses()
	}
	addresses = addresses[:min(len(addresses), maxLenders)]
	responses := make(chan *lendResponse, len(addresses))
	for _, address := range addresses {
		go func() { responses <- f.surveyOne(ctx, address, survey) }()
	}
	var result prepaid.SurveyResult
	for range addresses {
		response := <-responses
		switch {
		case response == nil:
		case response.Survey == nil:
			result.Unknown = true
		default:
			s := response.Survey
			result.Answers = append(result.Answers, prepaid.SurveyAnswer{Keeper: response.Keeper, Free: response.Free, Lends: s.Lends, Log: s.Log, Spent: s.Spent})
		}
	}
	return result
}

// surveyOne asks one host; it returns nil without a response.
func (f *Fleet) surveyOne(ctx context.Context, address string, survey prepaid.Survey) *lendResponse {
	call, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	var response lendResponse
	err := f.client.callWithTimeout(call, address, pathLend, lendRequest{Organisation: survey.Organisation, Survey: survey.Tokens}, &response)
	f.recordCallResult(address, err)
	if err != nil {
		return nil
	}
	return &response
}
