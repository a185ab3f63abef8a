//! Runs one call and formats its outcome.

use std::time::SystemTime;

use papayastack::{
    CallContext, CallError, CallerClient, IdSource, QueryRequest, SubmissionRequest,
    new_submission_key,
};
use serde::Serialize;

use crate::exit::Exit;
use crate::options::{Call, Command, KeyChoice};
use crate::render;

const SAMPLED_ALWAYS_PERMILLE: u32 = 1000;

/// The output and the exit code of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

/// Runs `call` against the system.
pub(crate) async fn run(call: Call) -> Report {
    let ids = IdSource::open();
    let call_context = call_context(&call, &ids);
    let Call { command, entry_addresses, data_centre, deadline_ms, json, .. } = call;
    // The key is printed first, so that the user has it even if the call fails.
    let command = prepare_request(command, &ids);
    let client = CallerClient::open(entry_addresses, data_centre).await;
    match command {
        PreparedRequest::Query(request) => {
            let request = QueryRequest { deadline_ms, ..request };
            match client.query(request, call_context).await {
                Ok(answer) => Report {
                    text: format_value(json, &answer, render::query),
                    exit: Exit::from_answer(&answer.answer),
                },
                Err(error) => failure_report(json, None, &error),
            }
        }
        PreparedRequest::Submission(request) => {
            let request = SubmissionRequest { deadline_ms, ..request };
            let key = request.key.clone().unwrap_or_default();
            match client.submit(request, call_context).await {
                Ok(answer) => Report {
                    text: format_value(
                        json,
                        &render::Submitted { key, answer },
                        render::submission,
                    ),
                    exit: Exit::Complete,
                },
                Err(error) => failure_report(json, Some(key), &error),
            }
        }
        PreparedRequest::Addresses => match client.addresses().await {
            Ok(answer) => Report {
                text: format_value(json, &answer, render::addresses),
                exit: Exit::Complete,
            },
            Err(error) => failure_report(json, None, &error),
        },
    }
}

enum PreparedRequest {
    Query(QueryRequest),
    Submission(SubmissionRequest),
    Addresses,
}

fn prepare_request(command: Command, ids: &IdSource) -> PreparedRequest {
    match command {
        Command::Query { service, class, selection, hits_limit } => {
            PreparedRequest::Query(QueryRequest {
                service,
                class,
                selection,
                deadline_ms: None,
                hits_limit,
            })
        }
        Command::Submit { service, key, body } => {
            let key = match key {
                KeyChoice::Given(key) => key,
                KeyChoice::New => {
                    let key = new_submission_key(SystemTime::now(), ids);
                    eprintln!("key: {key}");
                    key
                }
            };
            PreparedRequest::Submission(SubmissionRequest {
                service,
                key: Some(key),
                body,
                deadline_ms: None,
            })
        }
        Command::Addresses => PreparedRequest::Addresses,
    }
}

fn call_context(call: &Call, ids: &IdSource) -> CallContext {
    let trace = call.trace.then(|| ids.trace_context(SAMPLED_ALWAYS_PERMILLE));
    if let Some(trace) = &trace {
        eprintln!("trace: {:032x}", trace.trace_id);
    }
    CallContext { request_id: call.request_id.clone(), trace }
}

fn format_value<T: Serialize>(json: bool, value: &T, render: impl FnOnce(&T) -> String) -> String {
    if json { to_json(value) } else { render(value) }
}

fn failure_report(json: bool, key: Option<String>, error: &CallError) -> Report {
    let exit = Exit::from_error(error);
    let text = match json {
        true => to_json(&render::Failure::new(key, error)),
        false => render::failure(key.as_deref(), error),
    };
    Report { text, exit }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("the protocol's messages have string keys")
}
