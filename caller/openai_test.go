package caller

import (
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

func (r *harness) client(t *testing.T) openai.Client {
	return openai.NewClient(option.WithBaseURL(r.listen(t).URL+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(2))
}

func TestOpenAIClientIsSupported(t *testing.T) {
	r := newHarness(t)
	client := r.client(t)
	ctx := t.Context()

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 2)
	require.Equal(t, "kosher", models.Data[0].ID)

	completion := openai.CompletionNewParams{
		Model:     "tray",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
		MaxTokens: openai.Int(5),
	}
	whole, err := client.Completions.New(ctx, completion)
	require.NoError(t, err)
	require.Equal(t, tokenText(5), whole.Choices[0].Text)
	require.EqualValues(t, "length", whole.Choices[0].FinishReason)
	require.EqualValues(t, 5, whole.Usage.CompletionTokens)

	pieces := client.Completions.NewStreaming(ctx, completion)
	var got string
	for pieces.Next() {
		got += pieces.Current().Choices[0].Text
	}
	require.NoError(t, pieces.Err())
	require.Equal(t, tokenText(5), got)

	chat := openai.ChatCompletionNewParams{
		Model:               "kosher",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("s"), openai.UserMessage("u")},
		MaxCompletionTokens: openai.Int(4),
		Temperature:         openai.Float(0.2),
		StreamOptions:       openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(ctx, chat)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, tokenText(4), acc.Choices[0].Message.Content)
	require.EqualValues(t, "assistant", acc.Choices[0].Message.Role)
	require.EqualValues(t, 4, acc.Usage.CompletionTokens)

	chat.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	answer, err := client.Chat.Completions.New(ctx, chat)
	require.NoError(t, err)
	require.Equal(t, tokenText(4), answer.Choices[0].Message.Content)
	require.Equal(t, "system: s\nuser: u\nassistant:", r.engine.attempts()[3].Prompt)
}

// The client library retries by default, so the answer must say when a retry is safe.
func TestOpenAIClientDoesNotRetryRequestThatMayHaveRun(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctxT, infra.GenerateRequest) (infra.Stream, error) { return nil, connectionError() })
	client := r.client(t)
	_, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:  "tray",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
	}, option.WithHeader(HeaderNonIdempotent, "true"))
	var apiErr *openai.Error
	require.True(t, errors.As(err, &apiErr), "%v", err)
	require.Equal(t, "may_have_run", apiErr.Code)
	require.Len(t, r.engine.attempts(), 1)
}

func TestOpenAIClientReportsInterruptedStreamAsError(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctx ctxT, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerEvents(req, 0, 3)[:3])
		s.end = connectionError()
		return s, nil
	})
	client := r.client(t)
	stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:  "tray",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
	}, option.WithHeader(HeaderNonIdempotent, "true"))
	for stream.Next() {
		require.Empty(t, stream.Current().Choices[0].FinishReason)
	}
	require.Error(t, stream.Err())
	require.Contains(t, stream.Err().Error(), "may_have_run")
}
