//! Runs one call and reports it.

use std::time::SystemTime;

use papayastack::{
    CallContext, CallError, CallerClient, IdSource, QueryRequest, SubmissionRequest,
    new_submission_key,
};
use serde::Serialize;

use crate::exit::Exit;
use crate::options::{Call, Command, KeyChoice};
use crate::render;

const EVERY_TRACE_PERMILLE: u32 = 1000;

/// What a run prints, and how it exits.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

/// Runs `call` against the system.
pub(crate) async fn run(call: Call) -> Report {
    let ids = IdSource::open();
    let context = context(&call, &ids);
    let Call { command, entry_addresses, data_centre, deadline_ms, json, .. } = call;
    // The key comes first, so that the person has it whatever happens next.
    let command = with_key(command, &ids);
    let client = CallerClient::open(entry_addresses, data_centre).await;
    match command {
        Prepared::Query(request) => {
            let request = QueryRequest { deadline_ms, ..request };
            match client.query(request, context).await {
                Ok(answer) => Report {
                    text: text_of(json, &answer, render::query),
                    exit: Exit::of_answer(&answer.answer),
                },
                Err(error) => failed(json, None, &error),
            }
        }
        Prepared::Submission(request) => {
            let request = SubmissionRequest { deadline_ms, ..request };
            let key = request.key.clone().unwrap_or_default();
            match client.submit(request, context).await {
                Ok(answer) => Report {
                    text: text_of(json, &render::Submitted { key, answer }, render::submission),
                    exit: Exit::Complete,
                },
                Err(error) => failed(json, Some(key), &error),
            }
        }
        Prepared::Addresses => match client.addresses().await {
            Ok(answer) => {
                Report { text: text_of(json, &answer, render::addresses), exit: Exit::Complete }
            }
            Err(error) => failed(json, None, &error),
        },
    }
}

enum Prepared {
    Query(QueryRequest),
    Submission(SubmissionRequest),
    Addresses,
}

fn with_key(command: Command, ids: &IdSource) -> Prepared {
    match command {
        Command::Query { service, class, selection, hits_limit } => Prepared::Query(QueryRequest {
            service,
            class,
            selection,
            deadline_ms: None,
            hits_limit,
        }),
        Command::Submit { service, key, body } => {
            let key = match key {
                KeyChoice::Given(key) => key,
                KeyChoice::New => {
                    let key = new_submission_key(SystemTime::now(), ids);
                    eprintln!("key: {key}");
                    key
                }
            };
            Prepared::Submission(SubmissionRequest {
                service,
                key: Some(key),
                body,
                deadline_ms: None,
            })
        }
        Command::Addresses => Prepared::Addresses,
    }
}

fn context(call: &Call, ids: &IdSource) -> CallContext {
    let trace = call.trace.then(|| ids.trace_context(EVERY_TRACE_PERMILLE));
    if let Some(trace) = &trace {
        eprintln!("trace: {:032x}", trace.trace_id);
    }
    CallContext { request_id: call.request_id.clone(), trace }
}

fn text_of<T: Serialize>(json: bool, value: &T, render: impl FnOnce(&T) -> String) -> String {
    if json { json_of(value) } else { render(value) }
}

fn failed(json: bool, key: Option<String>, error: &CallError) -> Report {
    let exit = Exit::of_error(error);
    let text = match json {
        true => json_of(&render::Failure::new(key, error)),
        false => render::failure(key.as_deref(), error),
    };
    Report { text, exit }
}

fn json_of<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("the protocol's messages have string keys")
}
